/**
Sizes and speeds of an emulated engine. Times are in milliseconds.
*/
export type EngineProfile = {
	/**
	Requests that run at once, and those that may wait beyond them.
	*/
	readonly slots: number;
	readonly queue: number;
	/**
	Tokens that its memory holds.
	*/
	readonly cacheTokens: number;
	/**
	Time of a step that makes one token for each request, and what each request adds to it.
	*/
	readonly stepMs: number;
	readonly stepMsPerSequence: number;
	/**
	What each thousand tokens in memory add to a step.
	*/
	readonly stepMsPerThousandTokens: number;
	/**
	Prompt tokens read in a millisecond, and the most that one step reads.
	*/
	readonly prefillTokensPerMs: number;
	readonly prefillTokensPerStep: number;
	/**
	What a million pairs of a token read and a token before it add to reading.
	*/
	readonly msPerMillionPairs: number;
	/**
	Tokens in an event of a stream.
	*/
	readonly tokensPerEvent: number;
};
