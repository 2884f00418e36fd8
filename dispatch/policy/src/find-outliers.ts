import {countEjectable} from '@valvesaddle/evidence';
import type {EndpointView} from './endpoint-view.ts';

/**
An endpoint is an outlier if it is this many times slower than the median of its pool.
*/
const slowFactor = 3;
const failuresToEject = 3;
/**
Maximum share of a pool that may be ejected at once.
*/
const maximumEjectedShare = 0.3;
const minimumEndpoints = 3;

/**
 Finds the endpoints to eject, worst first: those far slower than the median or with consecutive failures. Limits the
 ejected share of the pool.

 @example
 findOutliers(endpoints); // ['engine-7']
 */
export function findOutliers(endpoints: readonly EndpointView[]): readonly string[] {
	const inUse = endpoints.filter(({state}) => state !== 'leaving');
	const ejected = inUse.filter(({state}) => state === 'ejected').length;
	const allowed = countEjectable({endpoints: inUse.length, ejected, maximumShare: maximumEjectedShare});
	if (allowed === 0 || inUse.length < minimumEndpoints) {
		return [];
	}

	const medianMs = findMedian(inUse.flatMap(({interTokenMs}) => interTokenMs ?? []));
	return inUse
		.filter(({state}) => state === 'live' || state === 'probing')
		.map(endpoint => ({id: endpoint.id, score: measureOutlierScore(endpoint, medianMs)}))
		.filter(({score}) => score >= 1)
		.toSorted((a, b) => b.score - a.score)
		.slice(0, allowed)
		.map(({id}) => id);
}

function measureOutlierScore({interTokenMs, failures}: EndpointView, medianMs: number): number {
	const slowness = interTokenMs === undefined || medianMs === 0 ? 0 : interTokenMs / (medianMs * slowFactor);
	return Math.max(slowness, failures / failuresToEject);
}

function findMedian(values: readonly number[]): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}
