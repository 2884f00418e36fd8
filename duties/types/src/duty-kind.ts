/**
Duties that a platform may ask for: reports of usage, and orders of replicas.
*/
export type DutyKind = 'usage' | 'scaling';
