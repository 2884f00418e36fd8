import type {Budget} from './budget.ts';

/**
 Takes one retry from a budget; `undefined` if the balance is too low.

 @example
 takeFromBudget({balance: 0.5}); // undefined
 */
export function takeFromBudget(budget: Budget): Budget | undefined {
	return budget.balance >= 1 ? {balance: budget.balance - 1} : undefined;
}
