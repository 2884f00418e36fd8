import type {PaceModel} from './pace-model.ts';

/**
Tokens that an endpoint must have read of late before its pace counts: a few prompts.
*/
const leastTokens = 8000;
/**
Bounds of the factor, so that a few odd readings do no harm.
*/
const lowestFactor = 0.4;
const highestFactor = 1.3;

/**
 Creates the model of a pool's paces. All nodes share the readings, so they agree on it.

 @example
 const paces = createPaceModel();
 paces.update(new Map([['i-1', {readTokens: 9000, readMs: 150}], ['i-2', {readTokens: 9000, readMs: 300}]]));
 paces.getFactor('i-2'); // 0.5
 */
export function createPaceModel(): PaceModel {
	let factors: ReadonlyMap<string, number> = new Map();

	return {
		update(loads) {
			const paces = loads.entries()
				.filter(([, {prefilledTokens: readTokens, prefillMs: readMs}]) => readTokens >= leastTokens && readMs > 0)
				.map(([id, {prefilledTokens: readTokens, prefillMs: readMs}]) => [id, readTokens / readMs] as const)
				.toArray();
			const median = findMedian(paces.map(([, pace]) => pace));
			factors = new Map(paces.map(([id, pace]) => [id, pace / median]));
		},
		getFactor: endpoint => Math.min(highestFactor, Math.max(lowestFactor, factors.get(endpoint) ?? 1)),
	};
}

/**
The upper one of two: with as many slow endpoints as fast ones, the fast ones are the measure.
*/
function findMedian(values: readonly number[]): number {
	return values.toSorted((a, b) => a - b)[Math.floor(values.length / 2)] ?? 1;
}
