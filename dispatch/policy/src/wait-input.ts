import type {RequestClass} from '@valvesaddle/types';

/**
Input of `predictWait`: the request's class and the state of its pool.
*/
export type WaitInput = {
	readonly requestClass: RequestClass;
	/**
	Waiting requests of the same client account and class.
	*/
	readonly accountWaiting: number;
	/**
	Sum of the weights of the client accounts that wait in the class, including this one, divided by this one's weight.
	*/
	readonly accountShares: number;
	/**
	Sum of the limits of the live endpoints.
	*/
	readonly slots: number;
	/**
	Slots that urgent requests use or that are reserved for them.
	*/
	readonly urgentSlots: number;
	/**
	Slots free for the request's class now.
	*/
	readonly freeSlots: number;
};
