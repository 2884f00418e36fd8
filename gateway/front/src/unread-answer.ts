import type {Socket} from 'node:net';
import type {ByteHold} from '@valvesaddle/buffers';

/**
An answer that waits for its caller.
*/
export type UnreadAnswer = {
	readonly requestId: string;
	readonly account: string;
	readonly hold: ByteHold;
	/**
	When the time in which the request was to be answered is over, in milliseconds on the monotonic clock.
	*/
	readonly deadlineAt: number;
	/**
	Connection on which the answer is being sent; `undefined` while earlier answers are.
	*/
	readonly findSocket: () => Socket | undefined;
	/**
	Bytes of the answer that wait for the caller.
	*/
	readonly countUnsent: () => number;
	/**
	Ends the answer incomplete.
	*/
	readonly end: (reason: string) => void;
};
