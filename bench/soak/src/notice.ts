import type {Arrival} from './arrival.ts';

/**
What an endpoint said of itself in the answer to a request, and when.
*/
export type Notice = Arrival & {
	/**
	Time for which it asked for no more requests, in milliseconds; 0 when it did not ask.
	*/
	readonly retryAfterMs: number;
	readonly isLeaving: boolean;
};
