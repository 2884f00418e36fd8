import type {RequestClass} from '@valvesaddle/types';
import type {AccountQueue} from './account-queue.ts';

/**
Waiting requests of one class, by client account.
*/
export type ClassQueue<Value> = {
	requestClass: RequestClass;
	/**
	All accounts that have had requests, with their served tokens.
	*/
	readonly accounts: Map<string, AccountQueue<Value>>;
	/**
	Accounts with waiting requests.
	*/
	readonly active: Map<string, AccountQueue<Value>>;
	waiting: number;
	virtualTokens: number;
	floorCredit: number;
};
