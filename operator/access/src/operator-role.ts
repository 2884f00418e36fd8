/**
Role of an operator: `viewer` may read, `editor` may also change.
*/
export type OperatorRole = 'viewer' | 'editor';
