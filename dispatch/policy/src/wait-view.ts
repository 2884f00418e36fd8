import type {RequestClass} from '@valvesaddle/types';

/**
State of a request class within a pool, as `predictWait` uses it.
*/
export type WaitView = {
	readonly requestClass: RequestClass;
	readonly waiting: number;
	/**
	Average time that a grant of the class is held, in milliseconds.
	*/
	readonly holdMs: number;
};
