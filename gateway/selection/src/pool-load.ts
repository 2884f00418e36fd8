/**
Load of a pool, summed over all nodes.
*/
export type PoolLoad = {
	/**
	Open requests at its endpoints.
	*/
	readonly open: number;
	/**
	Total of prompt tokens sent so far to engines that had not cached them.
	*/
	readonly placedTokens: number;
	/**
	Learned prefill rate of an engine, in tokens per millisecond.
	*/
	readonly tokensPerMs: number;
};
