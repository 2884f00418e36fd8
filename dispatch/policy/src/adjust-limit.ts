import type {EndpointView} from './endpoint-view.ts';

/**
The limit falls above this part of the target and grows below the other, so that it rests a little under the target.
*/
const fallsAbove = 0.95;
const growsBelow = 0.85;
const decrease = 0.9;
const increase = 1;
/**
The limit grows only while it is nearly used up.
*/
const usedPart = 0.8;
const decreasePauseMs = 1000;
const increasePauseMs = 500;
const smallestLimit = 1;
const largestLimit = 1024;

type LimitTarget = {
	readonly interTokenMs: number;
	/**
	Milliseconds since the epoch.
	*/
	readonly now: number;
};

/**
 Learns the limit of an endpoint from its time between tokens against the target: additive increase, multiplicative
 decrease. Returns the same object when nothing changes.

 @example
 adjustLimit({...endpoint, interTokenMs: 80, limit: 10}, {interTokenMs: 52, now}).limit; // 9
 */
export function adjustLimit(endpoint: EndpointView, target: LimitTarget): EndpointView {
	if (endpoint.interTokenMs === undefined) {
		return endpoint;
	}

	const sinceMs = target.now - endpoint.limitChangedAt;
	if (endpoint.interTokenMs > target.interTokenMs * fallsAbove) {
		const isDue = sinceMs >= decreasePauseMs && endpoint.limit > smallestLimit;
		return isDue ? withLimit(endpoint, Math.max(smallestLimit, endpoint.limit * decrease), target.now) : endpoint;
	}

	const isUsed = endpoint.inFlight >= endpoint.limit * usedPart;
	const isDue = sinceMs >= increasePauseMs && endpoint.limit < largestLimit;
	return isUsed && isDue && endpoint.interTokenMs < target.interTokenMs * growsBelow
		? withLimit(endpoint, Math.min(largestLimit, endpoint.limit + increase), target.now)
		: endpoint;
}

function withLimit(endpoint: EndpointView, limit: number, now: number): EndpointView {
	return {...endpoint, limit, limitChangedAt: now};
}
