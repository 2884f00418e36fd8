import type {NeedEstimator} from './need-estimator.ts';
import type {Need} from './need.ts';
import type {PoolLoad} from './pool-load.ts';

type NeedOptions = {
	/**
	Fewest replicas that are asked for, whatever the work.
	*/
	readonly minimumReplicas: number;
};

/**
Part of its places that a replica has taken at the usual load: the rest is for what comes in the time that a new one needs.
*/
const usualOpenShare = 0.45;
/**
Part of its time that an engine reads at the usual load; the rest is for tokens of its streams.
*/
const usualReadingShare = 0.35;
/**
Time over which reading is measured, and for which the highest need counts, in milliseconds: fast up, slowly down.
*/
const rateMs = 1500;
const holdMs = 15_000;
const msPerSecond = 1000;

type Sample = {
	readonly at: number;
	readonly value: number;
};

/**
 Creates the estimator of a pool's need: by the requests that are open, and by the reading that prompts ask for, which rises a
 few seconds before requests pile up.

 @example
 const needs = createNeedEstimator({minimumReplicas: 8});
 needs.update({open: 60, placedTokens: 0, tokensPerMs: 50, slots: 12}).count; // 12
 */
export function createNeedEstimator({minimumReplicas: least}: NeedOptions): NeedEstimator {
	let placed: readonly Sample[] = [];
	let peaks: ReadonlyArray<Sample & {readonly reason: Need['reason']}> = [];

	function measureRate({placedTokens}: PoolLoad, now: number): number {
		placed = [...placed.filter(({at}) => now - at <= rateMs), {at: now, value: placedTokens}];
		const [first] = placed;
		const elapsedMs = first === undefined ? 0 : now - first.at;
		return elapsedMs <= 0 ? 0 : Math.max(0, placedTokens - (first?.value ?? 0)) / elapsedMs * msPerSecond;
	}

	return {
		update(work) {
			const now = performance.now();
			const tokensPerS = measureRate(work, now);
			const byOpen = work.open / (work.slots * usualOpenShare);
			const byReading = tokensPerS / (work.tokensPerMs * msPerSecond * usualReadingShare);
			const value = Math.ceil(Math.max(least, byOpen, byReading));
			const reason = value <= least ? 'least' : (byOpen >= byReading ? 'open requests' : 'reading');
			// Only what is higher than all after it can be the highest later.
			peaks = [...peaks.filter(peak => now - peak.at <= holdMs && peak.value > value), {at: now, value, reason}];
			const [highest] = peaks;
			return {
				count: highest?.value ?? value, needed: Math.ceil(Math.max(byOpen, byReading)), tokensPerS, reason: highest?.reason ?? reason,
			};
		},
	};
}
