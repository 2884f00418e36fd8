/**
State of a node's part of the retry budget of a pool in the current window.
*/
export type RetryUsage = {
	/**
	Retries that were spent.
	*/
	readonly retries: number;
	/**
	Retries that may be spent in all.
	*/
	readonly allowed: number;
};
