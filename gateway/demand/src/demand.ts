/**
Tokens of requests within a sliding window.
*/
export type Demand = {
	/**
	Asked for by callers, including those that have come back after a refusal.
	*/
	readonly askedTokens: number;
	/**
	Part of them asked for by callers that have come back.
	*/
	readonly returnedTokens: number;
	/**
	Of requests that an endpoint has started to answer.
	*/
	readonly servedTokens: number;
};
