/**
What a pool's endpoints speak: an engine's chat completions, or plain HTTP.
*/
export type PoolKind = 'engine' | 'service';
