type TimedAnswer = {
	/**
	Time from the request to the whole answer, in milliseconds.
	*/
	readonly elapsedMs: number;
	/**
	Requests that were open at the endpoint before it.
	*/
	readonly openBefore: number;
	readonly slots: number;
};

/**
 Measures how long an endpoint worked on a request, without its wait for a place.

 @example
 measureServiceMs({elapsedMs: 90, openBefore: 17, slots: 6}); // 30
 */
export function measureServiceMs({elapsedMs, openBefore, slots}: TimedAnswer): number {
	return elapsedMs / Math.max(1, (openBefore + 1) / Math.max(1, slots));
}
