/**
 Returns the lowest of some virtual token counters; `undefined` without any. A counter that becomes active again is raised to the
 lowest active one, so that no credit accrues while it is idle.

 @example
 findMinimumTokens([{virtualTokens: 4}, {virtualTokens: 9}]); // 4
 */
export function findMinimumTokens(counters: Iterable<{readonly virtualTokens: number}>): number | undefined {
	let minimum: number | undefined;
	for (const {virtualTokens} of counters) {
		minimum = Math.min(minimum ?? Infinity, virtualTokens);
	}

	return minimum;
}
