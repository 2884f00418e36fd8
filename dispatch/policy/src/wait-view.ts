import type {RequestClass} from '@valvesaddle/types';

/**
What a class adds to the wait of others.
*/
export type WaitView = {
	readonly requestClass: RequestClass;
	readonly waiting: number;
	/**
	Average time that a grant of the class is held, in milliseconds.
	*/
	readonly holdMs: number;
};
