/**
How links between nodes behave. Times are one way, in milliseconds.
*/
export type LinkTraits = {
	readonly nearMs: number;
	/**
	Between two data centres.
	*/
	readonly farMs: number;
	/**
	Share of a message's time that is drawn by lot.
	*/
	readonly jitterShare: number;
	/**
	Share of the messages that are lost once, and come when they have been sent again; what follows on the link waits for them.
	*/
	readonly lossShare: number;
	/**
	Bytes that each node can send in a millisecond, over all its links; without a limit where it is not given.
	*/
	readonly uplinkBytesPerMs?: number;
};
