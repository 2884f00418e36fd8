/**
Limits of the bytes that a node holds.
*/
export type BufferLimits = {
	/**
	Bytes that the node may hold; `Infinity` without a limit.
	*/
	readonly limitBytes: number;
	/**
	Share of the limit up to which everything is held, whoever it is for.
	*/
	readonly pressureShare: number;
	/**
	Greatest share of the limit for one client account once that is exceeded.
	*/
	readonly accountShare: number;
	/**
	How long a body waits unread for room, in milliseconds.
	*/
	readonly waitMs: number;
	/**
	Bytes of an answer that are read ahead of its caller; 0 pauses the endpoint as soon as the connection of the caller is full.
	*/
	readonly aheadBytes: number;
	/**
	Time after which an endpoint that is paused is read on while there is room, in milliseconds: less than it waits for a reader.
	*/
	readonly unreadMs: number;
	/**
	Time without progress after which an answer that its caller does not read may be ended, in milliseconds.
	*/
	readonly stuckMs: number;
};
