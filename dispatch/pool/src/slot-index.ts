import type {EndpointView, GrantMode} from '@valvesaddle/policy';

/**
Endpoints that may have a slot, by the rule of the grant, so that a full pool is not searched at every decision.
*/
export type SlotIndex = {
	/**
	Takes over an endpoint's new view.
	*/
	readonly set: (view: EndpointView) => void;
	readonly remove: (endpointId: string) => void;
	/**
	Takes over the part of every limit that is kept free for urgent work.
	*/
	readonly setHeadroom: (headroom: number) => void;
	/**
	Endpoints that may have a slot under a rule.
	*/
	readonly candidates: (mode: GrantMode) => Iterable<EndpointView>;
};
