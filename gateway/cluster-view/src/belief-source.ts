/**
Where a belief comes from.
*/
export type BeliefSource = 'store' | 'peer';
