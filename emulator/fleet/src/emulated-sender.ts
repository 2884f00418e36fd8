/**
Who sent a request to an emulated engine.
*/
export type EmulatedSender = {
	readonly node: string;
	/**
	The connection broke.
	*/
	readonly onLost: () => void;
	/**
	The engine refuses before running the request, and may ask for no more for some time.
	*/
	readonly onRefused: (retryAfterMs: number | undefined) => void;
};
