/**
When the next chunk of a request is expected, in milliseconds on the monotonic clock.
*/
export type ExpectedChunk = {
	/**
	From here on its absence counts against the endpoint.
	*/
	readonly dueAt: number;
	/**
	From here on the request leaves an endpoint that is stalled.
	*/
	readonly overdueAt: number;
};
