import type {KnownEndpoint} from './known-endpoint.ts';

/**
What to expect of a request that is opened.
*/
type Expectation = {
	readonly pool: string;
	/**
	Predicted time to the first chunk, in milliseconds.
	*/
	readonly predictedMs: number;
};

/**
Finds endpoints that are stalled for all nodes that expect chunks from them.
*/
export type StallMonitor = {
	/**
	Starts watching a request that was sent; returns its handle.
	*/
	readonly open: (endpoint: string, expectation: Expectation) => symbol;
	readonly markChunk: (endpoint: string, request: symbol) => void;
	/**
	Expects nothing until `markResumed`, since the caller reads slowly.
	*/
	readonly markPaused: (endpoint: string, request: symbol) => void;
	readonly markResumed: (endpoint: string, request: symbol) => void;
	/**
	Sets a handler of a request that is called when it is overdue and its endpoint is stalled.
	*/
	readonly setHandler: (endpoint: string, request: symbol, handler: () => void) => void;
	readonly close: (endpoint: string, request: symbol) => void;
	/**
	Checks the endpoints by what this node and its peers have found. All that had arrived by `readAt` must have been read.
	*/
	readonly update: (endpoints: Iterable<Pick<KnownEndpoint, 'incarnation' | 'pool'>>, readAt: number) => void;
	readonly removeEndpoint: (endpoint: string) => void;
};
