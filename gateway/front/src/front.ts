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
	Closes all connections immediately.
	*/
	readonly closeNow: () => void;
};
