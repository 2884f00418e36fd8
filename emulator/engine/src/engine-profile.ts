/**
Sizes and speeds of an emulated engine. Times are in milliseconds.
*/
export type EngineProfile = {
	/**
	Requests that run at once, and requests that may wait for a slot.
	*/
	readonly slots: number;
	readonly queue: number;
	/**
	Size of the KV cache, in tokens.
	*/
	readonly cacheTokens: number;
	/**
	Whether running requests hold a shared part once; if omitted, each holds it for itself.
	*/
	readonly isSharedHeldOnce?: boolean;
	/**
	Base time of a step, and the time that each running request adds.
	*/
	readonly stepMs: number;
	readonly stepMsPerSequence: number;
	/**
	Time that each thousand tokens in use of the KV cache add to a step.
	*/
	readonly stepMsPerThousandTokens: number;
	/**
	Prefill speed, and the maximum prompt tokens that one step prefills.
	*/
	readonly prefillTokensPerMs: number;
	readonly prefillTokensPerStep: number;
	/**
	Attention cost of prefill: time for each million pairs of a prompt token and a token before it.
	*/
	readonly msPerMillionPairs: number;
	/**
	Output tokens in one event of a stream.
	*/
	readonly tokensPerEvent: number;
};
