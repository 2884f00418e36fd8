import type {LoadAccount} from './load-account.ts';
import type {LoadClass} from './load-class.ts';

/**
An open load: arrivals do not wait for answers.
*/
export type LoadPlan = {
	readonly classes: readonly LoadClass[];
	readonly accounts: readonly LoadAccount[];
	readonly requestsPerSecond: number;
	readonly lengthMs: number;
	/**
	Target for the time between tokens, in milliseconds.
	*/
	readonly interTokenTargetMs: number;
	/**
	Answers still under way so long after the last arrival are given up.
	*/
	readonly patienceMs: number;
	readonly seed: number;
};
