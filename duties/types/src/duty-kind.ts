/**
Duties that a platform may enable: usage reports and replica orders.
*/
export type DutyKind = 'usage' | 'scaling';
