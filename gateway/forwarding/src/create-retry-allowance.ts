import type {Route} from '@valvesaddle/gateway-types';
import type {RetryBudget, RetryNeed} from '@valvesaddle/retry-budget';
import {canRetry} from './can-retry.ts';
import {isRetryable} from './is-retryable.ts';
import type {RetryAllowance} from './retry-allowance.ts';

type RetryAllowanceOptions = {
	readonly route: Route;
	readonly pool: string;
	readonly budget: Pick<RetryBudget, 'hasRetry' | 'spend'>;
	/**
	Whether the pool fails as a whole, so that retries are left to more urgent routes.
	*/
	readonly isPoolFailing: () => boolean;
};

/**
 Creates the retry allowance of one request. Each send after the first uses one retry of the budget, whatever endpoints were
 unreachable before it.

 @example
 const retries = createRetryAllowance({route, pool: 'drafting', budget, isPoolFailing: () => false});
 retries.markSent();
 retries.spend({mayHaveRun: true}); // undefined: the request may be sent again
 */
export function createRetryAllowance({route, pool, budget, isPoolFailing}: RetryAllowanceOptions): RetryAllowance {
	let runs = 0;
	/**
	Whether the next send needs no retry of the budget: it is the first one, or its retry is spent already.
	*/
	let isNextPaid = true;

	function getNeed(): RetryNeed {
		return {priority: route.priority, isScarce: isPoolFailing()};
	}

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
		hasRetry: () => isNextPaid || budget.hasRetry(pool, getNeed()),
		spend(failure) {
			if (!isAllowed(failure)) {
				return failure.mayHaveRun && !isRetryable(route) ? 'not-repeatable' : 'run-limit';
			}

			isNextPaid ||= budget.spend(pool, getNeed());
			return isNextPaid ? undefined : 'budget';
		},
	};
}
