import type {WaitBaselines} from './wait-baselines.ts';

/**
Weight of a wait that is longer than the estimate, and of one that is not: the estimate keeps near the longest tenth, and
neither one caller with a long wait nor some repeats move it far.
*/
const longerWeight = 0.2;
const shorterWeight = 0.01;
/**
Part of the usual wait, and milliseconds, by which a first try may fall short of it: connecting takes time.
*/
const shortfallShare = 0.03;
const shortfallMs = 40;

/**
 Creates the table of usual waits. A caller that comes back names what is left of its wait, so the difference is what it has
 spent; credit counts from its first try.

 @example
 const waits = createUsualWaits();
 waits.record('drafts', 6000); // 0
 waits.record('drafts', 5000); // 1000
 */
export function createWaitBaselines(): WaitBaselines {
	const usual = new Map<string, number>();

	return {
		record(route, waitMs) {
			const before = usual.get(route) ?? waitMs;
			const after = before + ((waitMs - before) * (waitMs > before ? longerWeight : shorterWeight));
			usual.set(route, after);
			const spentMs = after - waitMs;
			return spentMs > (shortfallShare * after) + shortfallMs ? spentMs : 0;
		},
	};
}
