/**
What the order of the waiting requests of one client account and class depends on. Times are in milliseconds on one clock.
*/
export type WaitingOrder = {
	/**
	First arrival.
	*/
	readonly arrivedAt: number;
	/**
	Whether the caller was refused before and has come back at the time that it was told.
	*/
	readonly hasReturned?: boolean;
	/**
	Last time at which the request can be sent to be in time; without it, requests are served in order of arrival.
	*/
	readonly dueAt?: number;
};
