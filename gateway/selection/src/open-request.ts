/**
A request that is open at an endpoint.
*/
export type OpenRequest = {
	/**
	A piece of the answer has come; the first one shows that the prompt was read.
	*/
	readonly markChunk: () => void;
	/**
	The caller reads slowly, so that the endpoint has to wait.
	*/
	readonly markPaused: () => void;
	/**
	Sets what is to be done when no node hears of the endpoint any more.
	*/
	readonly onStalled: (handler: () => void) => void;
	/**
	Sets what is to be done when the process that it was sent to is known to have ended.
	*/
	readonly onEnded: (handler: () => void) => void;
	readonly close: (end: WorkEnd) => void;
};

/**
How a request ended at an endpoint: `done`, `failed` by the endpoint, `rejected` before it ran, `gone` when the endpoint
could not be reached or another one answers at its address, or `cancelled` by us.
*/
type WorkEnd = 'done' | 'failed' | 'rejected' | 'gone' | 'cancelled';
