/**
Headers that the gateway adds to the caller's for an endpoint.
*/
export type SendMetadata = {
	readonly endpoint: string;
	readonly account: string | undefined;
	/**
	Time until the deadline of the request, in milliseconds.
	*/
	readonly remainingMs: number;
	/**
	Rank of the request at the endpoint, 0 first; `undefined` for endpoints that know none.
	*/
	readonly urgency: number | undefined;
	/**
	Event after which the stream resumes; -1 keeps the caller's header.
	*/
	readonly lastEventId: number;
};
