/**
Options of `createSelector`.
*/
export type SelectorOptions = {
	/**
	Weight of an open stream that reading a prompt beside it would make late, in latency objectives of the prompt's route. In
	emulated bursts (four seeds), 6 of 100 queries paused too long with both weights at 1, and 44 with both at 0.
	*/
	readonly interferenceWeight: number;
	/**
	Weight of the chance that a stream is made late by what its endpoint reads, in latency objectives of its route.
	*/
	readonly riskWeight: number;
	/**
	Time within which reading a shared part again counts as waste, in milliseconds.
	*/
	readonly reuseMs: number;
	/**
	Milliseconds of delay that are borne to save one token from being read again.
	*/
	readonly rereadMsPerToken: number;
	/**
	Prompt tokens that an engine reads in a millisecond, until it is learned.
	*/
	readonly prefillTokensPerMs: number;
	/**
	Whether a request to an address would find an open connection; without it none is counted.
	*/
	readonly hasConnection?: (address: string) => boolean;
	/**
	Is told of each request that is placed.
	*/
	readonly onPlacement?: () => void;
};
