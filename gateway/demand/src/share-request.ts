/**
What shares depend on of a request.
*/
export type ShareRequest = {
	/**
	The caller's id of it, for the log.
	*/
	readonly id: string;
	readonly pool: string;
	readonly priority: number;
	/**
	Name of its client account; empty without one.
	*/
	readonly account: string;
	readonly promptTokens: number;
	/**
	Maximum number of tokens to generate.
	*/
	readonly outputTokens: number;
	/**
	Whether the caller has come back after a refusal.
	*/
	readonly isReturned: boolean;
};
