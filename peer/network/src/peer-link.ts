/**
An open WebSocket to another node, with JSON-RPC in both directions.
*/
export type PeerLink = {
	readonly node: string;
	readonly call: (method: string, parameters: unknown) => Promise<unknown>;
	readonly notify: (method: string, parameters: unknown) => void;
	/**
	Sends a notification that is already serialized.
	*/
	readonly sendSerialized: (text: string) => void;
	/**
	Pings the peer while calls are pending, and closes the link when it times out or is idle. Takes the time of `performance.now()`.
	*/
	readonly tick: (now: number) => void;
	/**
	Bytes that were sent and that the other node has not confirmed yet.
	*/
	readonly countUnconfirmed: () => number;
	/**
	Whether the send window has room.
	*/
	readonly isReady: () => boolean;
	/**
	Closes the link behind the messages that were sent on it.
	*/
	readonly end: () => void;
	/**
	Closes the link at once.
	*/
	readonly close: () => void;
};
