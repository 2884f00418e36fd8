/**
Options of {@link ValvesaddleError}.
*/
export type ErrorOptions = {
	/**
	The error that led to this one.
	*/
	readonly cause?: unknown;
	/**
	Suggested delay before a retry, in milliseconds.
	*/
	readonly retryAfterMs?: number | undefined;
};
