/**
Part of the objective up to which a predicted wait for others shows room in a pool. A request that waits for less than a quarter of
its objective is in time, and delays others by no more.
*/
export const roomShare = 0.25;
