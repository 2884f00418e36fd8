/**
A request that is open at an endpoint.
*/
export type OpenWork = {
	/**
	The endpoint has begun to answer.
	*/
	readonly markBegun: () => void;
	readonly close: (end: WorkEnd) => void;
};

/**
How a request ended at an endpoint: `done`, `failed` by the endpoint, `rejected` before it ran, `gone` when the endpoint
could not be reached or another one answers at its address, or `cancelled` by us.
*/
type WorkEnd = 'done' | 'failed' | 'rejected' | 'gone' | 'cancelled';
