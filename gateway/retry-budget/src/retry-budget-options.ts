/**
Options of `createRetryBudget`.
*/
export type RetryBudgetOptions = {
	/**
	Second tries for each request that a pool may get.
	*/
	readonly ratio: number;
	/**
	Second tries for each window that a pool may get besides, from all nodes together.
	*/
	readonly slack: number;
	/**
	Length of the sliding window, in milliseconds.
	*/
	readonly windowMs: number;
	/**
	Nodes that share the slack.
	*/
	readonly countNodes: () => number;
};
