/**
A request that waits, with what the queue needs to know of it.
*/
export type QueuedRequest<Value> = {
	readonly requestId: string;
	readonly className: string;
	readonly account: string;
	/**
	Original arrival, in milliseconds since the epoch of this process's clock.
	*/
	readonly arrivedAt: number;
	readonly value: Value;
};
