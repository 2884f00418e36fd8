import {addToBudget, takeFromBudget, type Budget} from '@valvesaddle/policy';
import type {RetryBudgets} from './retry-budgets.ts';

const initialBalance = 5;

/**
 Creates the retry budgets of a node.

 @example
 budgets.deposit('sawmill', 'drafting');
 budgets.withdraw('sawmill', 'drafting'); // true
 */
export function createRetryBudgets(): RetryBudgets {
	const budgets = new Map<string, Budget>();
	const getBudget = (key: string): Budget => budgets.get(key) ?? {balance: initialBalance};

	return {
		deposit(account, pool) {
			for (const key of [`account/${account}`, `pool/${pool}`]) {
				budgets.set(key, addToBudget(getBudget(key)));
			}
		},
		canWithdraw: (account, pool) => [`account/${account}`, `pool/${pool}`].every(key => takeFromBudget(getBudget(key)) !== undefined),
		withdraw(account, pool) {
			const accountBudget = takeFromBudget(getBudget(`account/${account}`));
			const poolBudget = takeFromBudget(getBudget(`pool/${pool}`));
			if (accountBudget === undefined || poolBudget === undefined) {
				return false;
			}

			budgets.set(`account/${account}`, accountBudget);
			budgets.set(`pool/${pool}`, poolBudget);
			return true;
		},
	};
}
