/**
Capacity of each model engine of a pool.
*/
export type EngineCapacity = {
	/**
	Requests that run at once.
	*/
	readonly slots: number;
	/**
	Size of its KV cache, in tokens.
	*/
	readonly cacheTokens: number;
};
