import type {WaitBaselines} from './wait-baselines.ts';

/**
Weights of a wait above and below the estimate. They keep it near the longest tenth of the waits, robust against single long waits
and against retries.
*/
const longerWeight = 0.2;
const shorterWeight = 0.01;
/**
Difference that a first attempt may have, since connecting takes time: a share of the baseline, and milliseconds.
*/
const shortfallShare = 0.03;
const shortfallMs = 40;

/**
 Creates the table of wait baselines. A caller that retries sends what is left of its wait, so the difference from the baseline
 is the time since its first attempt.

 @example
 const waits = createWaitBaselines();
 waits.record('drafts', 6000); // 0
 waits.record('drafts', 5000); // 1000
 */
export function createWaitBaselines(): WaitBaselines {
	const baselines = new Map<string, number>();

	return {
		record(route, waitMs) {
			const before = baselines.get(route) ?? waitMs;
			const after = before + ((waitMs - before) * (waitMs > before ? longerWeight : shorterWeight));
			baselines.set(route, after);
			const spentMs = after - waitMs;
			return spentMs > (shortfallShare * after) + shortfallMs ? spentMs : 0;
		},
	};
}
