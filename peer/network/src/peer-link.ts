/**
One open WebSocket to another node, with JSON-RPC both ways.
*/
export type PeerLink = {
	readonly node: string;
	readonly call: (method: string, parameters: unknown) => Promise<unknown>;
	readonly notify: (method: string, parameters: unknown) => void;
	/**
	Looks after the link: pings while it is in use, closes it after long silence.
	*/
	readonly tick: (now: number) => void;
	/**
	Bytes that were sent and that the other node has not yet confirmed.
	*/
	readonly countUnconfirmed: () => number;
	readonly isReady: () => boolean;
	readonly close: () => void;
};
