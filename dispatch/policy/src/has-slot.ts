import type {EndpointRequirements} from './endpoint-requirements.ts';
import type {EndpointState} from './endpoint-state.ts';
import type {EndpointView} from './endpoint-view.ts';
import type {GrantMode} from './grant-mode.ts';
import {hasMemory} from './has-memory.ts';

/**
Requests in flight never exceed the limit times this factor, under any rule.
*/
const hardLimitFactor = 2;

const closedStates: ReadonlySet<EndpointState> = new Set(['leaving', 'ejected', 'cooling']);

type SlotRule = (endpoint: EndpointView, requirements: EndpointRequirements) => boolean;

const slotRules: Readonly<Record<GrantMode, SlotRule>> = {
	urgent: endpoint => endpoint.urgentInFlight < endpoint.limit,
	// Engines preempt others for urgent requests, and a floor is kept whatever the others hold: memory binds the shared slots alone.
	shared: (endpoint, requirements) => endpoint.inFlight + endpoint.external + (requirements.headroom * endpoint.limit) < endpoint.limit && hasMemory(endpoint.memory, requirements.memory),
	floor: (endpoint, requirements) => endpoint.inFlight - endpoint.urgentInFlight < Math.max(1, requirements.floor * endpoint.limit),
};

/**
 Checks whether an endpoint has a free slot under the grant's rule.

 @example
 hasSlot({...endpoint, limit: 4, inFlight: 4, urgentInFlight: 0}, {...requirements, mode: 'urgent'}); // true
 */
export function hasSlot(endpoint: EndpointView, requirements: EndpointRequirements): boolean {
	if (closedStates.has(endpoint.state)) {
		return false;
	}

	return endpoint.state === 'probing'
		? requirements.mayProbe && endpoint.inFlight === 0
		: endpoint.inFlight < endpoint.limit * hardLimitFactor && slotRules[requirements.mode](endpoint, requirements);
}
