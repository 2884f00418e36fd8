/**
What the time depends on at which a refused caller is asked to come back. Times are in milliseconds on one clock.
*/
export type ReturnInput = {
	readonly now: number;
	/**
	Predicted time until there is room for one more request.
	*/
	readonly roomInMs: number;
	/**
	Predicted time between two requests that can be served.
	*/
	readonly intervalMs: number;
	/**
	When the caller that was refused before comes back; `-Infinity` without one.
	*/
	readonly lastAt: number;
	/**
	Longest time that a caller is asked to stay away.
	*/
	readonly mostMs: number;
	/**
	Random number from 0 up to 1 that spreads callers that several nodes refuse at the same time.
	*/
	readonly draw: number;
};
