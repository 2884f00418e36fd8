import {hasSlot, type EndpointRequirements, type EndpointView} from '@valvesaddle/policy';

/**
 Counts the free slots for requests with these requirements.

 @example
 countFreeSlots(endpoints, requirements); // 12
 */
export function countFreeSlots(views: Iterable<EndpointView>, requirements: EndpointRequirements): number {
	let free = 0;
	for (const view of views) {
		if (!hasSlot(view, requirements)) {
			continue;
		}

		const used = requirements.mode === 'urgent' ? view.urgentInFlight : view.inFlight + view.external + (requirements.headroom * view.limit);
		free += Math.max(1, view.limit - used);
	}

	return free;
}
