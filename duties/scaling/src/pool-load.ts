/**
Current load of a pool.
*/
export type PoolLoad = {
	/**
	Open requests at its replicas.
	*/
	readonly open: number;
	/**
	Total of prompt tokens routed so far that were not in the chosen engines' prefix caches.
	*/
	readonly placedTokens: number;
	/**
	Estimated prefill speed of an engine, in tokens per millisecond.
	*/
	readonly tokensPerMs: number;
	/**
	Requests that a replica runs concurrently.
	*/
	readonly slots: number;
};
