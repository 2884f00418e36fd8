import type {Route} from '@valvesaddle/gateway-types';
import type {RetryBudget} from '@valvesaddle/retry-budget';
import {canRetry} from './can-retry.ts';
import {isRetryable} from './is-retryable.ts';
import type {RetryAllowance} from './retry-allowance.ts';

type RetryAllowanceOptions = {
	readonly route: Route;
	readonly pool: string;
	readonly budget: Pick<RetryBudget, 'hasRetry' | 'spend'>;
};

/**
 Creates the retry allowance of one request. Each send after the first uses one retry of the budget, whatever endpoints were
 unreachable before it.

 @example
 const retries = createRetryAllowance({route, pool: 'drafting', budget});
 retries.markSent();
 retries.spend({mayHaveRun: true}); // undefined: the request may be sent again
 */
export function createRetryAllowance({route, pool, budget}: RetryAllowanceOptions): RetryAllowance {
	let runs = 0;
	/**
	Whether the next send needs no retry of the budget: it is the first one, or its retry is spent already.
	*/
	let isNextPaid = true;

	function isAllowed({mayHaveRun}: Parameters<RetryAllowance['isAllowed']>[0]): boolean {
		return canRetry({route, mayHaveRun, runs});
	}

	return {
		markSent() {
			runs++;
			isNextPaid = false;
		},
		markNotRun() {
			runs--;
		},
		countRuns: () => runs,
		isAllowed,
		hasRetry: () => isNextPaid || budget.hasRetry(pool),
		spend(failure) {
			if (!isAllowed(failure)) {
				return failure.mayHaveRun && !isRetryable(route) ? 'not-repeatable' : 'run-limit';
			}

			isNextPaid ||= budget.spend(pool);
			return isNextPaid ? undefined : 'budget';
		},
	};
}
