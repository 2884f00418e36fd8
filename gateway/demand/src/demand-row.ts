import type {Demand} from './demand.ts';

/**
Demand of a client account in the routes of one priority.
*/
export type DemandRow = Demand & {
	readonly priority: number;
	/**
	Name of the account, empty for public routes; `restAccount` for the sum over small accounts.
	*/
	readonly account: string;
	/**
	Number of accounts in the row: 1, or more in the row of small accounts.
	*/
	readonly accounts: number;
};
