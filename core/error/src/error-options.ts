/**
Options of {@link ValvesaddleError}.
*/
export type ErrorOptions = {
	/**
	The error that led to this one.
	*/
	readonly cause?: unknown;
	/**
	Milliseconds after which another try makes sense.
	*/
	readonly retryAfterMs?: number | undefined;
};
