import type {KnownEndpoint} from './known-endpoint.ts';

/**
What to expect of a request that is opened.
*/
type Expectation = {
	readonly pool: string;
	/**
	Predicted time to its first piece, in milliseconds.
	*/
	readonly predictedMs: number;
};

/**
Finds the endpoints that no node hears of any more.
*/
export type SilenceGuard = {
	/**
	A request was sent; returns what stands for it.
	*/
	readonly open: (endpoint: string, expectation: Expectation) => symbol;
	readonly markPiece: (endpoint: string, work: symbol) => void;
	/**
	Nothing is expected until the next piece, since the caller reads slowly.
	*/
	readonly markPaused: (endpoint: string, work: symbol) => void;
	/**
	Sets what is to be done for a request when its endpoint is dark.
	*/
	readonly setHandler: (endpoint: string, work: symbol, handler: () => void) => void;
	readonly close: (endpoint: string, work: symbol) => void;
	/**
	Judges the endpoints by what this node hears and what others have told.
	*/
	readonly update: (endpoints: Iterable<Pick<KnownEndpoint, 'incarnation' | 'pool'>>) => void;
	readonly removeEndpoint: (endpoint: string) => void;
};
