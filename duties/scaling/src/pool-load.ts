/**
Work of a pool at a moment.
*/
export type PoolLoad = {
	/**
	Requests that are open at its replicas.
	*/
	readonly open: number;
	/**
	Tokens of prompts that were placed so far and that the chosen engines did not hold.
	*/
	readonly placedTokens: number;
	/**
	Tokens that an engine reads in a millisecond, as learned.
	*/
	readonly tokensPerMs: number;
	/**
	Requests that a replica runs at once.
	*/
	readonly slots: number;
};
