/**
What an engine did so far.
*/
export type EngineCounts = {
	readonly requests: number;
	readonly tokens: number;
	/**
	Tokens of answers that were cancelled before their end.
	*/
	readonly cancelledTokens: number;
	readonly resumed: number;
	readonly prefixHits: number;
	/**
	Requests that a fault refused.
	*/
	readonly refused: number;
};
