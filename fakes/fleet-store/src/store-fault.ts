/**
How the stand-in misbehaves: `refuse` answers 503, `silent` never answers, `compact` has lost its history, `lose` carries
out a write and drops its answer.
*/
export type StoreFault = 'refuse' | 'silent' | 'compact' | 'lose';
