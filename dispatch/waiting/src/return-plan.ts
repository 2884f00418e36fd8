import type {ReturnInput} from './return-input.ts';

/**
Times at which refused callers are asked to come back.
*/
export type ReturnPlan = {
	/**
	Plans the return of a refused caller, in the order of the refusals of its client account. Returns the milliseconds until then.
	*/
	readonly planMs: (account: string, input: Pick<ReturnInput, 'roomInMs' | 'intervalMs' | 'draw'>) => number;
};
