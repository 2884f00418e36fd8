import type {RequestClass} from '@valvesaddle/types';
import type {AccountQueue} from './account-queue.ts';

/**
All that waits in one class.
*/
export type ClassQueue<Value> = {
	requestClass: RequestClass;
	/**
	Every account ever seen, with its served tokens.
	*/
	readonly accounts: Map<string, AccountQueue<Value>>;
	/**
	Accounts that wait now.
	*/
	readonly active: Map<string, AccountQueue<Value>>;
	waiting: number;
	virtualTokens: number;
	floorCredit: number;
};
