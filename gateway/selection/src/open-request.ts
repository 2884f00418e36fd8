/**
A request that is open at an endpoint.
*/
export type OpenRequest = {
	/**
	Whether the endpoint accepts the request now by the limit that it named, which may be after the request was opened. Called just
	before the first byte is sent.
	*/
	readonly canSend: () => boolean;
	/**
	Records a chunk of the answer; the first one shows that the prompt is prefilled.
	*/
	readonly markChunk: () => void;
	/**
	Records that the endpoint has to wait because the caller reads slowly.
	*/
	readonly markPaused: () => void;
	/**
	Records that the caller has read, so that the endpoint can go on.
	*/
	readonly markResumed: () => void;
	/**
	Sets a handler that is called when this request is overdue and its endpoint is stalled for all nodes that expect chunks from it.
	*/
	readonly onStalled: (handler: () => void) => void;
	/**
	Sets a handler that is called when the process that the request was sent to is known to have ended.
	*/
	readonly onEnded: (handler: () => void) => void;
	readonly close: (end: RequestEnd) => void;
};

/**
How a request ended at an endpoint: `done`, `erred` by an answer that is an error, `failed` without a whole answer, `rejected` before it ran, `gone` if the endpoint
was unreachable or another one answers at its address, or `cancelled` by the gateway.
*/
type RequestEnd = 'done' | 'erred' | 'failed' | 'rejected' | 'gone' | 'cancelled';
