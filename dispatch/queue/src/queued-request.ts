/**
A waiting request.
*/
export type QueuedRequest<Value> = {
	readonly requestId: string;
	readonly className: string;
	readonly account: string;
	/**
	Time of the first arrival at any dispatcher, in milliseconds on the monotonic clock of this process.
	*/
	readonly arrivedAt: number;
	/**
	Time since then that the request did not wait, in milliseconds.
	*/
	readonly ranMs: number;
	readonly value: Value;
};
