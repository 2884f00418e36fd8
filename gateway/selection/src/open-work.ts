/**
A request that is open at an endpoint.
*/
export type OpenWork = {
	/**
	A piece of the answer has come; the first one shows that the prompt was read.
	*/
	readonly markPiece: () => void;
	readonly close: (end: WorkEnd) => void;
};

/**
How a request ended at an endpoint: `done`, `failed` by the endpoint, `rejected` before it ran, `gone` when the endpoint
could not be reached or another one answers at its address, or `cancelled` by us.
*/
type WorkEnd = 'done' | 'failed' | 'rejected' | 'gone' | 'cancelled';
