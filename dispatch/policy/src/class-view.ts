import type {RequestClass} from '@valvesaddle/types';

/**
What ordering needs to know of one class of a pool.
*/
export type ClassView = {
	readonly requestClass: RequestClass;
	readonly waiting: number;
	/**
	Tokens served, divided by the weight.
	*/
	readonly virtualTokens: number;
	/**
	Grants owed to the class under its floor.
	*/
	readonly floorCredit: number;
};
