import type {RequestClass} from '@valvesaddle/types';

/**
A request that asks how long it would wait.
*/
export type WaitInput = {
	readonly requestClass: RequestClass;
	/**
	Requests of the same client account and class that wait already.
	*/
	readonly accountWaiting: number;
	/**
	Client accounts that wait in the class, this one included, by weight: sum of weights over the own weight.
	*/
	readonly accountShares: number;
	/**
	Sum of the learned limits of the endpoints in use.
	*/
	readonly slots: number;
	/**
	Slots that urgent work holds or is kept for.
	*/
	readonly urgentSlots: number;
	/**
	Slots free for the request's class now.
	*/
	readonly freeSlots: number;
};
