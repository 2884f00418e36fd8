import type {EndpointRequirements} from './endpoint-requirements.ts';
import type {EndpointState} from './endpoint-state.ts';
import type {EndpointView} from './endpoint-view.ts';
import type {GrantMode} from './grant-mode.ts';

/**
No endpoint gets more than this many times its limit, whatever the rule.
*/
const hardLimitFactor = 2;

const closedStates: ReadonlySet<EndpointState> = new Set(['leaving', 'ejected', 'cooling']);

type SlotRule = (endpoint: EndpointView, need: EndpointRequirements) => boolean;

const slotRules: Readonly<Record<GrantMode, SlotRule>> = {
	urgent: endpoint => endpoint.urgentInFlight < endpoint.limit,
	shared: (endpoint, need) => endpoint.inFlight + endpoint.external + (need.headroom * endpoint.limit) < endpoint.limit,
	floor: (endpoint, need) => endpoint.inFlight - endpoint.urgentInFlight < Math.max(1, need.floor * endpoint.limit),
};

/**
 Tells whether an endpoint has a slot under the rule of the grant.

 @example
 hasSlot({...endpoint, limit: 4, inFlight: 4, urgentInFlight: 0}, {...need, mode: 'urgent'}); // true
 */
export function hasSlot(endpoint: EndpointView, need: EndpointRequirements): boolean {
	if (closedStates.has(endpoint.state)) {
		return false;
	}

	return endpoint.state === 'probing' ? need.mayProbe && endpoint.inFlight === 0 : endpoint.inFlight < endpoint.limit * hardLimitFactor && slotRules[need.mode](endpoint, need);
}
