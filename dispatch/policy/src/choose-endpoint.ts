import type {EndpointNeed} from './endpoint-need.ts';
import type {EndpointView} from './endpoint-view.ts';
import {estimateFirstToken} from './estimate-first-token.ts';
import {hasSlot} from './has-slot.ts';

/**
 Picks, among the endpoints with a slot, the one with the shortest estimated time to the first token. Endpoints that
 failed the request before are taken only when no other endpoint could ever take it.

 @example
 chooseEndpoint(endpoints, need)?.id; // 'engine-3'
 */
export function chooseEndpoint(endpoints: Iterable<EndpointView>, need: EndpointNeed): EndpointView | undefined {
	let best: EndpointView | undefined;
	let bestMs = Infinity;
	let fallback: EndpointView | undefined;
	let hasOther = false;
	for (const endpoint of endpoints) {
		const isAvoided = need.avoid.length > 0 && need.avoid.includes(endpoint.id);
		hasOther ||= !isAvoided && endpoint.state === 'live';
		if (!hasSlot(endpoint, need)) {
			continue;
		}

		if (isAvoided) {
			fallback ??= endpoint;
			continue;
		}

		const milliseconds = estimateFirstToken(endpoint, need);
		if (!(milliseconds < bestMs)) {
			continue;
		}

		best = endpoint;
		bestMs = milliseconds;
	}

	return best ?? (hasOther ? undefined : fallback);
}
