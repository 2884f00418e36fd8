/**
Protocol of a pool's endpoints: an engine's chat completions, or plain HTTP.
*/
export type PoolKind = 'engine' | 'service';
