import type {LoadAccount} from './load-account.ts';
import type {LoadClass} from './load-class.ts';

/**
One request to come.
*/
export type Arrival = {
	/**
	Milliseconds since the start of the load.
	*/
	readonly at: number;
	readonly loadClass: LoadClass;
	readonly account: LoadAccount;
	readonly tokens: number;
};
