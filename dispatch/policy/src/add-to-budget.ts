import type {Budget} from './budget.ts';

const creditPerRequest = 0.1;
const maximumBalance = 20;

/**
 Credits one first attempt to a retry budget.

 @example
 addToBudget({balance: 1}).balance; // 1.1
 */
export function addToBudget(budget: Budget): Budget {
	return {balance: Math.min(maximumBalance, budget.balance + creditPerRequest)};
}
