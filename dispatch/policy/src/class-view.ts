import type {RequestClass} from '@valvesaddle/types';

/**
State of a request class within a pool, as `rankClasses` uses it.
*/
export type ClassView = {
	readonly requestClass: RequestClass;
	readonly waiting: number;
	/**
	Tokens served, divided by the weight.
	*/
	readonly virtualTokens: number;
	/**
	Grants that the class has accrued under its floor; it is due one from 1 on.
	*/
	readonly floorCredit: number;
};
