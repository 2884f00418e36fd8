import {hasSlot, type EndpointRequirements, type EndpointView} from '@valvesaddle/policy';

/**
 Counts the slots that requests of this need could take now.

 @example
 countFreeSlots(endpoints, need); // 12
 */
export function countFreeSlots(views: Iterable<EndpointView>, need: EndpointRequirements): number {
	let free = 0;
	for (const view of views) {
		if (!hasSlot(view, need)) {
			continue;
		}

		const held = need.mode === 'urgent' ? view.urgentInFlight : view.inFlight + view.external + (need.headroom * view.limit);
		free += Math.max(1, view.limit - held);
	}

	return free;
}
