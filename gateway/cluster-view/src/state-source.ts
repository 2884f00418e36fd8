/**
Where a change of the cluster state comes from.
*/
export type StateSource = 'store' | 'peer';
