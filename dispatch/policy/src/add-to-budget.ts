import type {Budget} from './budget.ts';

const earnedPerRequest = 0.1;
const largestBalance = 20;

/**
 Credits one first try to a retry budget.

 @example
 addToBudget({balance: 1}).balance; // 1.1
 */
export function addToBudget(budget: Budget): Budget {
	return {balance: Math.min(largestBalance, budget.balance + earnedPerRequest)};
}
