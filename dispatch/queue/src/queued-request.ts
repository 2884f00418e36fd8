import type {WaitingOrder} from '@valvesaddle/waiting';

/**
A waiting request. `arrivedAt` is the time of its first arrival at any dispatcher, on the monotonic clock of this process.
*/
export type QueuedRequest<Value> = WaitingOrder & {
	readonly requestId: string;
	readonly className: string;
	readonly account: string;
	/**
	Time since then that the request did not wait, in milliseconds.
	*/
	readonly ranMs: number;
	readonly value: Value;
};
