/**
Where a belief comes from.
*/
export type StateSource = 'store' | 'peer';
