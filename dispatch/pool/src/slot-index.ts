import type {EndpointView, GrantMode} from '@valvesaddle/policy';

/**
Index of the endpoints that may have a free slot, by grant mode. It avoids a search of the whole pool for each decision.
*/
export type SlotIndex = {
	/**
	Adds an endpoint or replaces its view.
	*/
	readonly set: (view: EndpointView) => void;
	readonly remove: (endpointId: string) => void;
	/**
	Sets the share of every limit that is reserved for urgent requests.
	*/
	readonly setHeadroom: (headroom: number) => void;
	/**
	Endpoints that may have a free slot in a grant mode.
	*/
	readonly candidates: (mode: GrantMode) => Iterable<EndpointView>;
};
