/**
Watches an attempt for silence.
*/
export type StallDetector = {
	/**
	Aborted when the attempt was silent for too long, or by the request's own signal.
	*/
	readonly signal: AbortSignal;
	/**
	Notes a token.
	*/
	readonly recordToken: () => void;
	/**
	Whether the attempt was cut short for its silence.
	*/
	readonly isStalled: () => boolean;
	readonly close: () => void;
};
