import type {SpeedModel} from './speed-model.ts';

/**
Recently prefilled tokens, a few prompts, that an endpoint needs before its speed is used.
*/
const minimumTokens = 8000;
/**
Bounds of the factor, which limit the effect of outliers.
*/
const minimumFactor = 0.4;
const maximumFactor = 1.3;

/**
 Creates the speed model of a pool. Nodes share their loads, so their models agree.

 @example
 const speeds = createSpeedModel();
 speeds.update(new Map([['i-1', {prefilledTokens: 9000, prefillMs: 150}], ['i-2', {prefilledTokens: 9000, prefillMs: 300}]]));
 speeds.getFactor('i-2'); // 0.5
 */
export function createSpeedModel(): SpeedModel {
	let factors: ReadonlyMap<string, number> = new Map();

	return {
		update(loads) {
			const speeds = loads.entries()
				.filter(([, {prefilledTokens, prefillMs}]) => prefilledTokens >= minimumTokens && prefillMs > 0)
				.map(([id, {prefilledTokens, prefillMs}]) => [id, prefilledTokens / prefillMs] as const)
				.toArray();
			const median = findMedian(speeds.map(([, speed]) => speed));
			factors = new Map(speeds.map(([id, speed]) => [id, speed / median]));
		},
		getFactor: endpoint => Math.min(maximumFactor, Math.max(minimumFactor, factors.get(endpoint) ?? 1)),
	};
}

/**
Takes the upper of two middle values: if half of the endpoints are slow, the fast ones are the reference.
*/
function findMedian(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 1;
}
