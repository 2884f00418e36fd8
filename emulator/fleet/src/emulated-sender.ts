/**
The sender of a request to an emulated engine.
*/
export type EmulatedSender = {
	readonly node: string;
	/**
	Called when the connection breaks.
	*/
	readonly onLost: () => void;
	/**
	Called when the engine refuses the request before running it. The cooldown that it requests, if any, is in milliseconds.
	*/
	readonly onRefused: (retryAfterMs: number | undefined) => void;
};
