/**
What a link sent, and what the other node has confirmed of it.
*/
export type SendWindow = {
	readonly addSent: (bytes: number) => void;
	/**
	Bytes sent so far, for a ping to carry.
	*/
	readonly countSent: () => number;
	/**
	Takes in a pong; `false` when it says what cannot be.
	*/
	readonly applyPong: (text: string) => boolean;
	/**
	Bytes that were sent and that the other node has not yet confirmed.
	*/
	readonly countUnconfirmed: () => number;
	readonly isReady: () => boolean;
	/**
	Time for which a confirmation has been waited for, in milliseconds; 0 when none is.
	*/
	readonly measureWait: (now: number) => number;
	/**
	Counts the wait for a confirmation from now on, since this process stood still.
	*/
	readonly markPaused: (now: number) => void;
};
