/**
Options of `createRetryBudget`.
*/
export type RetryBudgetOptions = {
	/**
	Retries per request to a pool.
	*/
	readonly ratio: number;
	/**
	Further retries per window and pool, from all nodes together.
	*/
	readonly slack: number;
	/**
	Length of the sliding window, in milliseconds.
	*/
	readonly windowMs: number;
	/**
	Number of nodes that share the slack.
	*/
	readonly countNodes: () => number;
};
