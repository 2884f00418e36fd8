import type {RetryBudget} from './retry-budget.ts';
import type {RetryBudgetOptions} from './retry-budget-options.ts';
import type {RetryUsage} from './retry-usage.ts';

type Usage = {
	readonly requests: number[];
	readonly retries: number[];
};

/**
Share of the budget that is used, since a retry may arrive in a later window than it was counted in.
*/
const usedShare = 0.8;

/**
 Creates a node's part of the fleet's retry budget. Nodes do not communicate for it: each one may spend `ratio` of its own requests
 and an even share of `slack`.

 @example
 const budget = createRetryBudget({ratio: 0.2, slack: 56, windowMs: 10_000, countNodes: () => 8});
 budget.earn('register');
 budget.spend('register'); // true
 */
export function createRetryBudget({ratio, slack, windowMs, countNodes}: RetryBudgetOptions): RetryBudget {
	const usages = new Map<string, Usage>();

	function getUsage(pool: string): Usage {
		const usage = usages.get(pool) ?? {requests: [], retries: []};
		usages.set(pool, usage);
		const oldest = performance.now() - windowMs;
		removeBefore(usage.requests, oldest);
		removeBefore(usage.retries, oldest);
		return usage;
	}

	function readUsage(pool: string): RetryUsage {
		const {requests, retries} = getUsage(pool);
		return {retries: retries.length, allowed: usedShare * ((ratio * requests.length) + (slack / Math.max(1, countNodes())))};
	}

	function hasRetry(pool: string): boolean {
		const {retries, allowed} = readUsage(pool);
		return retries + 1 <= allowed;
	}

	return {
		earn(pool) {
			getUsage(pool).requests.push(performance.now());
		},
		spend(pool) {
			if (!hasRetry(pool)) {
				return false;
			}

			getUsage(pool).retries.push(performance.now());
			return true;
		},
		hasRetry,
		readUsage,
	};
}

function removeBefore(times: number[], oldest: number): void {
	const index = times.findIndex(time => time >= oldest);
	times.splice(0, index === -1 ? times.length : index);
}
