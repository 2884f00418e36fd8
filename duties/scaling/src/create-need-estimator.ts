import type {NeedEstimator} from './need-estimator.ts';
import type {Need} from './need.ts';
import type {PoolLoad} from './pool-load.ts';

type NeedOptions = {
	/**
	Lowest estimate, whatever the load.
	*/
	readonly minimumReplicas: number;
};

/**
Target share of a replica's slots in use; the rest absorbs load that arrives while a new replica boots.
*/
const targetOpenShare = 0.45;
/**
Target share of an engine's time spent on prefill; the rest is for token generation.
*/
const targetPrefillShare = 0.35;
/**
Window of the prefill rate.
*/
const rateWindowMs = 1500;
/**
Time for which the highest estimate applies; long, so that a pool scales up fast and down slowly.
*/
const holdMs = 15_000;
const msPerSecond = 1000;

type Sample = {
	readonly at: number;
	readonly value: number;
};

/**
 Creates an estimator of a pool's replica demand. It uses open requests and the prefill rate, which rises a few seconds before
 open requests do.

 @example
 const estimator = createNeedEstimator({minimumReplicas: 8});
 estimator.update({open: 60, placedTokens: 0, tokensPerMs: 50, slots: 12}).count; // 12
 */
export function createNeedEstimator({minimumReplicas}: NeedOptions): NeedEstimator {
	let samples: readonly Sample[] = [];
	let peaks: ReadonlyArray<Sample & {readonly reason: Need['reason']}> = [];

	function measureRate({placedTokens}: PoolLoad, now: number): number {
		samples = [...samples.filter(({at}) => now - at <= rateWindowMs), {at: now, value: placedTokens}];
		const [first] = samples;
		const elapsedMs = first === undefined ? 0 : now - first.at;
		return elapsedMs <= 0 ? 0 : Math.max(0, placedTokens - (first?.value ?? 0)) / elapsedMs * msPerSecond;
	}

	return {
		update(load) {
			const now = performance.now();
			const tokensPerS = measureRate(load, now);
			const byOpen = load.open / (load.slots * targetOpenShare);
			const byPrefill = tokensPerS / (load.tokensPerMs * msPerSecond * targetPrefillShare);
			const value = Math.ceil(Math.max(minimumReplicas, byOpen, byPrefill));
			const reason = value <= minimumReplicas ? 'least' : (byOpen >= byPrefill ? 'open requests' : 'reading');
			// Drops samples that can no longer become the maximum.
			peaks = [...peaks.filter(peak => now - peak.at <= holdMs && peak.value > value), {at: now, value, reason}];
			const [highest] = peaks;
			return {
				count: highest?.value ?? value, needed: Math.ceil(Math.max(byOpen, byPrefill)), tokensPerS, reason: highest?.reason ?? reason,
			};
		},
	};
}
