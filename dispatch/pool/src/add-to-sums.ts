import type {EndpointView} from '@valvesaddle/policy';
import type {PoolSums} from './pool-sums.ts';

/**
 Adds an endpoint to the sums of its pool, or removes it from them.

 @param sums - Sums before the change.
 @param view - The endpoint; `undefined` changes nothing.
 @param sign - 1 to add, -1 to remove.
 @example
 addToSums(sums, view, 1).slots;
 */
export function addToSums(sums: PoolSums, view: EndpointView | undefined, sign: 1 | -1): PoolSums {
	if (view === undefined) {
		return sums;
	}

	const isLive = view.state === 'live';
	return {
		slots: sums.slots + (isLive ? sign * view.limit : 0),
		inFlight: sums.inFlight + (sign * view.inFlight),
		urgentInFlight: sums.urgentInFlight + (sign * view.urgentInFlight),
		live: sums.live + (isLive ? sign : 0),
	};
}
