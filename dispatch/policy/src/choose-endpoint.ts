import type {EndpointRequirements} from './endpoint-requirements.ts';
import type {EndpointView} from './endpoint-view.ts';
import {estimateFirstToken} from './estimate-first-token.ts';
import {hasSlot} from './has-slot.ts';

/**
 Picks, among the endpoints with a slot, the one with the shortest estimated time to the first token.

 @param candidates - Endpoints that may have a slot; others need not be among them.
 @param need - What the request needs; endpoints that it avoids are passed over.
 @example
 chooseEndpoint(endpoints, need)?.id; // 'engine-3'
 */
export function chooseEndpoint(candidates: Iterable<EndpointView>, need: EndpointRequirements): EndpointView | undefined {
	let best: EndpointView | undefined;
	let bestMs = Infinity;
	for (const endpoint of candidates) {
		if (!hasSlot(endpoint, need) || need.avoid.includes(endpoint.id)) {
			continue;
		}

		const milliseconds = estimateFirstToken(endpoint, need);
		if (!(milliseconds < bestMs)) {
			continue;
		}

		best = endpoint;
		bestMs = milliseconds;
	}

	return best;
}
