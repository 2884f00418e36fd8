import {planReturn} from './plan-return.ts';
import type {ReturnPlan} from './return-plan.ts';

type ReturnPlanOptions = {
	/**
	Longest time that a caller is asked to stay away, in milliseconds.
	*/
	readonly mostMs: number;
};

/**
 Creates the plan of a pool's refused callers. Client accounts that have refused callers share what comes free, so that an account
 with many of them does not keep the others away. Accounts are forgotten when their last caller was to come back.

 @example
 const returns = createReturnPlan({mostMs: 60_000});
 returns.planMs('sawmill', {roomInMs: 800, intervalMs: 40, draw: 0}); // 800
 returns.planMs('sawmill', {roomInMs: 800, intervalMs: 40, draw: 0}); // 840
 */
export function createReturnPlan({mostMs}: ReturnPlanOptions): ReturnPlan {
	const lastAt = new Map<string, number>();

	function removeOver(now: number): void {
		for (const [account, at] of lastAt) {
			if (at <= now) {
				lastAt.delete(account);
			}
		}
	}

	return {
		planMs(account, {roomInMs, intervalMs, draw}) {
			const now = performance.now();
			removeOver(now);
			const sharing = lastAt.size + (lastAt.has(account) ? 0 : 1);
			const at = planReturn({
				now, roomInMs, intervalMs: intervalMs * sharing, lastAt: lastAt.get(account) ?? -Infinity, mostMs, draw,
			});
			lastAt.set(account, Math.max(at, lastAt.get(account) ?? 0));
			return at - now;
		},
	};
}
