import {countLeftToUrgent} from './count-left-to-urgent.ts';
import type {RetryBudget} from './retry-budget.ts';
import type {RetryBudgetOptions} from './retry-budget-options.ts';
import type {RetryNeed} from './retry-need.ts';
import type {RetryUsage} from './retry-usage.ts';

type Entry = {
	/**
	In milliseconds on the monotonic clock.
	*/
	readonly at: number;
	/**
	Priority of the route, 0 the most urgent.
	*/
	readonly priority: number;
};

type Usage = {
	readonly requests: Entry[];
	readonly retries: Entry[];
};

/**
Share of the budget that is used, since a retry may arrive in a later window than it was counted in.
*/
const usedShare = 0.8;

/**
 Creates a node's part of the fleet's retry budget. Nodes do not communicate for it: each one may spend `ratio` of its own requests
 and, from one window after the creation on, an even share of `slack`: a former process of the node may have spent it just before.

 @example
 const budget = createRetryBudget({ratio: 0.2, slack: 56, windowMs: 10_000, countNodes: () => 8});
 budget.earn('register');
 budget.spend('register'); // false: one request earns a fifth of a retry
 */
export function createRetryBudget({ratio, slack, windowMs, countNodes}: RetryBudgetOptions): RetryBudget {
	const usages = new Map<string, Usage>();
	const slackFrom = performance.now() + windowMs;

	function getUsage(pool: string): Usage {
		const usage = usages.get(pool) ?? {requests: [], retries: []};
		usages.set(pool, usage);
		const oldest = performance.now() - windowMs;
		removeBefore(usage.requests, oldest);
		removeBefore(usage.retries, oldest);
		return usage;
	}

	function getSlackShare(): number {
		return performance.now() < slackFrom ? 0 : slack / Math.max(1, countNodes());
	}

	function readUsage(pool: string): RetryUsage {
		const {requests, retries} = getUsage(pool);
		return {retries: retries.length, allowed: usedShare * ((ratio * requests.length) + getSlackShare())};
	}

	function measureLeftToUrgent(pool: string, priority: number, allowed: number): number {
		const {requests, retries} = getUsage(pool);
		return countLeftToUrgent({
			requests: requests.length, urgentRequests: countUrgent(requests, priority), urgentRetries: countUrgent(retries, priority), allowed,
		});
	}

	function hasRetry(pool: string, {priority = 0, isScarce = false}: RetryNeed = {}): boolean {
		const {retries, allowed} = readUsage(pool);
		const left = isScarce && priority > 0 ? measureLeftToUrgent(pool, priority, allowed) : 0;
		return retries + 1 <= allowed - left;
	}

	return {
		earn(pool, priority = 0) {
			getUsage(pool).requests.push({at: performance.now(), priority});
		},
		spend(pool, need) {
			if (!hasRetry(pool, need)) {
				return false;
			}

			getUsage(pool).retries.push({at: performance.now(), priority: need?.priority ?? 0});
			return true;
		},
		hasRetry,
		readUsage,
	};
}

function removeBefore(entries: Entry[], oldest: number): void {
	const index = entries.findIndex(({at}) => at >= oldest);
	entries.splice(0, index === -1 ? entries.length : index);
}

function countUrgent(entries: readonly Entry[], priority: number): number {
	let count = 0;
	for (const entry of entries) {
		count += entry.priority < priority ? 1 : 0;
	}

	return count;
}
