/**
What the gateway itself says to an endpoint beside the caller's own headers.
*/
export type SendMetadata = {
	readonly endpoint: string;
	readonly account: string | undefined;
	/**
	Milliseconds that are left.
	*/
	readonly remainingMs: number;
	/**
	Rank of the request at the endpoint, 0 first; `undefined` for endpoints that know none.
	*/
	readonly urgency: number | undefined;
	/**
	Event after which the stream is taken up; -1 for the caller's own.
	*/
	readonly lastEventId: number;
};
