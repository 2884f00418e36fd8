/**
Tracks the bytes that a link sent and those that the other node confirmed.
*/
export type SendWindow = {
	readonly addSent: (bytes: number) => void;
	/**
	Bytes sent so far, which a ping carries.
	*/
	readonly countSent: () => number;
	/**
	Applies a pong; `false` when its count is invalid.
	*/
	readonly applyPong: (text: string) => boolean;
	/**
	Bytes that were sent and that the other node has not confirmed yet.
	*/
	readonly countUnconfirmed: () => number;
	readonly isReady: () => boolean;
	/**
	Time since the outstanding ping was sent, in milliseconds; 0 when there is none.
	*/
	readonly measureWait: (now: number) => number;
	/**
	Restarts the wait for a confirmation after this process was paused.
	*/
	readonly markPaused: (now: number) => void;
};
