import type {EndpointView} from './endpoint-view.ts';

/**
The limit decreases above the first share of the target and increases below the second, so it settles slightly under
the target.
*/
const decreaseAboveShare = 0.95;
const increaseBelowShare = 0.85;
const decreaseFactor = 0.9;
const increaseStep = 1;
/**
The limit grows only while at least this share of it is in use.
*/
const usedShare = 0.8;
const decreaseIntervalMs = 1000;
const increaseIntervalMs = 500;
const minimumLimit = 1;
const maximumLimit = 1024;

type LimitTarget = {
	readonly interTokenMs: number;
	/**
	Milliseconds since the epoch.
	*/
	readonly now: number;
};

/**
 Adjusts an endpoint's concurrency limit to keep its time between tokens below the target (additive increase,
 multiplicative decrease). Returns the same object when nothing changes.

 @example
 adjustLimit({...endpoint, interTokenMs: 80, limit: 10}, {interTokenMs: 52, now}).limit; // 9
 */
export function adjustLimit(endpoint: EndpointView, target: LimitTarget): EndpointView {
	if (endpoint.interTokenMs === undefined) {
		return endpoint;
	}

	const sinceMs = target.now - endpoint.limitChangedAt;
	if (endpoint.interTokenMs > target.interTokenMs * decreaseAboveShare) {
		const isDue = sinceMs >= decreaseIntervalMs && endpoint.limit > minimumLimit;
		return isDue ? withLimit(endpoint, Math.max(minimumLimit, endpoint.limit * decreaseFactor), target.now) : endpoint;
	}

	const isNearlyUsed = endpoint.inFlight >= endpoint.limit * usedShare;
	const isDue = sinceMs >= increaseIntervalMs && endpoint.limit < maximumLimit;
	return isNearlyUsed && isDue && endpoint.interTokenMs < target.interTokenMs * increaseBelowShare
		? withLimit(endpoint, Math.min(maximumLimit, endpoint.limit + increaseStep), target.now)
		: endpoint;
}

function withLimit(endpoint: EndpointView, limit: number, now: number): EndpointView {
	return {...endpoint, limit, limitChangedAt: now};
}
