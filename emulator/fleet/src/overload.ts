/**
How an overloaded engine refuses.
*/
export type Overload = {
	/**
	Part of the requests that it refuses.
	*/
	readonly share: number;
	/**
	Time for which it asks for no more requests, in milliseconds; `undefined` when it does not ask.
	*/
	readonly retryAfterMs: number | undefined;
};
