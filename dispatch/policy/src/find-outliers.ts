import type {EndpointView} from './endpoint-view.ts';

/**
An endpoint this many times slower than the median of its pool is a straggler.
*/
const slowFactor = 3;
const failuresInRow = 3;
/**
Largest part of a pool that may be ejected at once.
*/
const largestEjectedPart = 0.3;
const fewestPeers = 3;

/**
 Finds the endpoints to eject: those far slower than their peers or failing in a row, worst first, never more than
 three in ten of the pool.

 @example
 findStragglers(endpoints); // ['engine-7']
 */
export function findOutliers(endpoints: readonly EndpointView[]): readonly string[] {
	const inUse = endpoints.filter(({state}) => state !== 'leaving');
	const ejected = inUse.filter(({state}) => state === 'ejected').length;
	const room = Math.floor(inUse.length * largestEjectedPart) - ejected;
	if (inUse.length < fewestPeers || room <= 0) {
		return [];
	}

	const medianMs = findMedian(inUse.flatMap(({interTokenMs}) => interTokenMs ?? []));
	return inUse
		.filter(({state}) => state === 'live' || state === 'probing')
		.map(endpoint => ({id: endpoint.id, badness: measureBadness(endpoint, medianMs)}))
		.filter(({badness}) => badness >= 1)
		.toSorted((a, b) => b.badness - a.badness)
		.slice(0, room)
		.map(({id}) => id);
}

function measureBadness({interTokenMs, failures}: EndpointView, medianMs: number): number {
	const slowness = interTokenMs === undefined || medianMs === 0 ? 0 : interTokenMs / (medianMs * slowFactor);
	return Math.max(slowness, failures / failuresInRow);
}

function findMedian(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
