/**
What a node may spend on retries, as in its settings.
*/
export type RetrySettings = {
	readonly ratio: number;
	readonly slack: number;
	readonly assumedNodes: number;
	readonly windowS: number;
};
