import type {Waiter} from './waiter.ts';

/**
A request in the waiting room.
*/
export type WaitingEntry = {
	/**
	Unlike the caller's ID of the request, not used twice.
	*/
	readonly id: string;
	readonly waiter: Waiter;
	/**
	In milliseconds on the monotonic clock.
	*/
	readonly enteredAt: number;
	/**
	Whether it was predicted to be in time after the first eighth of its objective.
	*/
	isHeld: boolean;
};
