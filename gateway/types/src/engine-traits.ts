/**
Size of each model engine of a pool.
*/
export type EngineTraits = {
	/**
	Requests that run at once.
	*/
	readonly slots: number;
	/**
	Tokens that its memory holds.
	*/
	readonly cacheTokens: number;
};
