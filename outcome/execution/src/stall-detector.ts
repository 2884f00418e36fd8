/**
Aborts an attempt that receives no token in time.
*/
export type StallDetector = {
	/**
	Aborted when the attempt stalls or the request's own signal is aborted.
	*/
	readonly signal: AbortSignal;
	/**
	Restarts the timeout after a token.
	*/
	readonly recordToken: () => void;
	/**
	Whether the attempt was aborted because it stalled.
	*/
	readonly isStalled: () => boolean;
	readonly close: () => void;
};
