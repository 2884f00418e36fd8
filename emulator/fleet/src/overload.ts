/**
How an overloaded engine refuses requests.
*/
export type Overload = {
	/**
	Share of requests that it refuses.
	*/
	readonly share: number;
	/**
	Cooldown that it requests, in milliseconds; `undefined` for none.
	*/
	readonly retryAfterMs: number | undefined;
};
