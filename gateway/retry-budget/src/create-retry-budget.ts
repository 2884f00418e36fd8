import type {RetryBudget} from './retry-budget.ts';
import type {RetryBudgetOptions} from './retry-budget-options.ts';

type Usage = {
	readonly requests: number[];
	readonly repeats: number[];
};

/**
Part of the budget that is used: a second try may arrive in a later window than it was counted in.
*/
const usedShare = 0.8;

/**
 Creates a node's part of the fleet's budget. It needs no word from other nodes: the part that grows with requests grows
 with the node's own, and the rest is shared evenly over the nodes that are known.

 @example
 const budget = createRetryBudget({ratio: 0.2, slack: 56, windowMs: 10_000, countNodes: () => 8});
 budget.earn('register');
 budget.spend('register'); // true
 */
export function createRetryBudget({ratio, slack, windowMs, countNodes}: RetryBudgetOptions): RetryBudget {
	const usages = new Map<string, Usage>();

	function getUsage(pool: string): Usage {
		const usage = usages.get(pool) ?? {requests: [], repeats: []};
		usages.set(pool, usage);
		const oldest = performance.now() - windowMs;
		removeBefore(usage.requests, oldest);
		removeBefore(usage.repeats, oldest);
		return usage;
	}

	return {
		earn(pool) {
			getUsage(pool).requests.push(performance.now());
		},
		spend(pool) {
			const {requests, repeats} = getUsage(pool);
			const allowed = usedShare * ((ratio * requests.length) + (slack / Math.max(1, countNodes())));
			if (repeats.length + 1 > allowed) {
				return false;
			}

			repeats.push(performance.now());
			return true;
		},
	};
}

function removeBefore(times: number[], oldest: number): void {
	const index = times.findIndex(time => time >= oldest);
	times.splice(0, index === -1 ? times.length : index);
}
