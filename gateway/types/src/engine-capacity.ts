/**
Size of each model engine of a pool.
*/
export type EngineCapacity = {
	/**
	Requests that run at once.
	*/
	readonly slots: number;
	/**
	Tokens that its memory holds.
	*/
	readonly cacheTokens: number;
};
