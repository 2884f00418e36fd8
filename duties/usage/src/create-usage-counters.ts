import type {UsageCounters} from './usage-counters.ts';
import type {UsageRow} from './usage-row.ts';

/**
 Creates usage counters. Counts only rise and each belongs to one process, so rows can arrive on several paths, in any order and
 more than once.

 @example
 const counters = createUsageCounters('a1.7f');
 counters.count(353445120, 'sawmill');
 counters.sum(353445120); // {sawmill: 1}
 */
export function createUsageCounters(self: string): UsageCounters {
	/**
	Counts by window, account and origin.
	*/
	const windows = new Map<number, Map<string, Map<string, number>>>();

	function getCounts(window: number, account: string): Map<string, number> {
		const accounts = windows.get(window) ?? new Map<string, Map<string, number>>();
		windows.set(window, accounts);
		const counts = accounts.get(account) ?? new Map<string, number>();
		accounts.set(account, counts);
		return counts;
	}

	function didUpdateCount([origin, window, account, count]: UsageRow): boolean {
		const counts = getCounts(window, account);
		if (count <= (counts.get(origin) ?? 0)) {
			return false;
		}

		counts.set(origin, count);
		return true;
	}

	return {
		count(window, account) {
			const counts = getCounts(window, account);
			const count = (counts.get(self) ?? 0) + 1;
			counts.set(self, count);
			return [self, window, account, count];
		},
		merge: rows => rows.filter(row => didUpdateCount(row)),
		list: () => [...windows].flatMap(([window, accounts]) => [...accounts].flatMap(([account, counts]) => [...counts].map(([origin, count]): UsageRow => [origin, window, account, count]))),
		sum(window) {
			const accounts = windows.get(window) ?? new Map<string, Map<string, number>>();
			return Object.fromEntries([...accounts].map(([account, counts]) => [account, counts.values().reduce((sum, count) => sum + count, 0)]));
		},
		removeBefore(window) {
			for (const recorded of windows.keys()) {
				if (recorded < window) {
					windows.delete(recorded);
				}
			}
		},
	};
}
