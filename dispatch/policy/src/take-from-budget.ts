import type {Budget} from './budget.ts';

/**
 Takes one retry out of a budget; `undefined` when it does not hold one.

 @example
 takeFromBudget({balance: 0.5}); // undefined
 */
export function takeFromBudget(budget: Budget): Budget | undefined {
	return budget.balance >= 1 ? {balance: budget.balance - 1} : undefined;
}
