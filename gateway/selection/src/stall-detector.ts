import type {ExpectedChunk} from './expected-chunk.ts';

type StallCheck = {
	readonly timeoutMs: number;
	/**
	Time on the monotonic clock by which all that had arrived has been read.
	*/
	readonly readAt: number;
};

/**
Detects endpoints from which this node has received no chunks in time. Times are in milliseconds.
*/
export type StallDetector = {
	/**
	Starts watching a request; returns its handle.
	*/
	readonly open: (endpoint: string, firstChunk: ExpectedChunk) => symbol;
	/**
	Records a chunk; the next one is due from now on.
	*/
	readonly markChunk: (endpoint: string, request: symbol) => void;
	/**
	Expects the next chunk of an open request anew.
	*/
	readonly setExpected: (endpoint: string, request: symbol, chunk: ExpectedChunk) => void;
	readonly close: (endpoint: string, request: symbol) => void;
	/**
	Whether no chunk had come from an endpoint for longer than `timeoutMs` at `readAt`; `undefined` if none was due to this node.
	*/
	readonly isStalled: (endpoint: string, check: StallCheck) => boolean | undefined;
	/**
	Whether the next chunk of a request was overdue at a time on the monotonic clock.
	*/
	readonly isOverdue: (endpoint: string, request: symbol, at: number) => boolean;
	readonly removeEndpoint: (endpoint: string) => void;
};
