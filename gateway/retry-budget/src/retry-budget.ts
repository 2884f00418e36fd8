import type {RetryNeed} from './retry-need.ts';
import type {RetryUsage} from './retry-usage.ts';

/**
The part of a fleet's retry budget that one node may spend.
*/
export type RetryBudget = {
	/**
	Records a caller's request to a pool.
	*/
	readonly earn: (pool: string, priority?: number) => void;
	/**
	Whether a retry is left in the window.
	*/
	readonly hasRetry: (pool: string, need?: RetryNeed) => boolean;
	/**
	Spends one retry; `false` if none is left in the window.
	*/
	readonly spend: (pool: string, need?: RetryNeed) => boolean;
	readonly readUsage: (pool: string) => RetryUsage;
};
