/**
HTTP server of a gateway node for callers.
*/
export type Front = {
	/**
	Starts the server and returns its address.
	*/
	readonly listen: () => Promise<string>;
	/**
	Applies the current limits.
	*/
	readonly configure: () => void;
	/**
	Accepts no new connections, closes idle ones, and resolves when all are closed.
	*/
	readonly drain: () => Promise<void>;
	/**
	Refuses the requests that are still open, or ends their answers incomplete, and resolves when all connections are closed: each after
	what waits on it was sent, or all after this time in milliseconds.
	*/
	readonly stop: (flushMs: number) => Promise<void>;
	/**
	Closes all connections immediately.
	*/
	readonly closeNow: () => void;
};
