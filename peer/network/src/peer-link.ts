/**
One open WebSocket to another node, with JSON-RPC both ways.
*/
export type PeerLink = {
	readonly node: string;
	readonly call: (method: string, parameters: unknown) => Promise<unknown>;
	readonly notify: (method: string, parameters: unknown) => void;
	/**
	Sends a notification that was written already, for all links at once.
	*/
	readonly sendSerialized: (text: string) => void;
	/**
	Looks after the link: pings while it is in use, ends it after long silence. Takes the time of `performance.now()`.
	*/
	readonly tick: (now: number) => void;
	/**
	Bytes that were sent and that the other node has not yet confirmed.
	*/
	readonly countUnconfirmed: () => number;
	readonly isReady: () => boolean;
	readonly close: () => void;
};
