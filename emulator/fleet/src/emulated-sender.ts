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
	The engine refuses since it is overloaded, and may ask for no more requests for some time.
	*/
	readonly onOverloaded: (retryAfterMs: number | undefined) => void;
};
