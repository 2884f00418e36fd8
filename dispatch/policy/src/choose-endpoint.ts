import type {EndpointRequirements} from './endpoint-requirements.ts';
import type {EndpointView} from './endpoint-view.ts';
import {estimateFirstToken} from './estimate-first-token.ts';
import {hasSlot} from './has-slot.ts';

/**
 Picks the endpoint with a free slot and the shortest estimated time to the first token.

 @param candidates - Endpoints that may have a slot.
 @param requirements - Requirements of the request; endpoints in `avoid` are skipped.
 @example
 chooseEndpoint(endpoints, requirements)?.id; // 'engine-3'
 */
export function chooseEndpoint(candidates: Iterable<EndpointView>, requirements: EndpointRequirements): EndpointView | undefined {
	let best: EndpointView | undefined;
	let bestMs = Infinity;
	for (const endpoint of candidates) {
		if (!hasSlot(endpoint, requirements) || requirements.avoid.includes(endpoint.id)) {
			continue;
		}

		const milliseconds = estimateFirstToken(endpoint, requirements);
		if (!(milliseconds < bestMs)) {
			continue;
		}

		best = endpoint;
		bestMs = milliseconds;
	}

	return best;
}
