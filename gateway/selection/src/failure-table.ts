/**
Endpoints that failed or refused requests of this node.
*/
export type FailureTable = {
	readonly record: (endpoint: string, isFailed: boolean) => void;
	/**
	Records that an endpoint refused a request before running it: it is healthy, but skipped for a short time.
	*/
	readonly recordRefusal: (endpoint: string) => void;
	/**
	Ejects an endpoint at once.
	*/
	readonly eject: (endpoint: string) => void;
	/**
	Ejects an endpoint that sends no chunks, unless it is ejected already.
	*/
	readonly ejectStalled: (endpoint: string) => void;
	/**
	Records that an endpoint sent a chunk: one that was ejected for sending none is chosen again.
	*/
	readonly recordChunk: (endpoint: string) => void;
	/**
	Whether an endpoint is ejected or skipped after a refusal. If its whole pool fails, failed requests are no reason.
	*/
	readonly isEjected: (endpoint: string, isPoolFailing?: boolean) => boolean;
	/**
	Milliseconds for which an endpoint that refused a request still counts as full; 0 if it does not.
	*/
	readonly getFullMs: (endpoint: string) => number;
	readonly removeEndpoint: (endpoint: string) => void;
};
