/**
What an operator may do: `viewer` reads, `editor` changes.
*/
export type OperatorRole = 'viewer' | 'editor';
