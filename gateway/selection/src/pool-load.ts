/**
Work of a pool, as all nodes have told it.
*/
export type PoolLoad = {
	/**
	Requests that are open at its endpoints.
	*/
	readonly open: number;
	/**
	Tokens of prompts that were placed so far at engines that did not hold them.
	*/
	readonly placedTokens: number;
	/**
	Tokens that an engine reads in a millisecond, as learned.
	*/
	readonly tokensPerMs: number;
};
