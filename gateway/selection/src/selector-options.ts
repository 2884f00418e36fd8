import type {FleetNodes} from './fleet-nodes.ts';

/**
Options of `createSelector`.
*/
export type SelectorOptions = {
	/**
	Weight of an open stream that the prefill of a new prompt is expected to delay beyond its pause objective, in latency objectives
	of the prompt's route. In emulated bursts, 6 of 100 queries pause too long with both weights at 1, and 44 with both at 0.
	*/
	readonly interferenceWeight: number;
	/**
	Weight of the probability that other prefill at the endpoint delays the new stream beyond its pause objective, in latency
	objectives of its route.
	*/
	readonly riskWeight: number;
	/**
	Time within which prefilling a shared part again counts as waste, in milliseconds.
	*/
	readonly reuseMs: number;
	/**
	Delay that is accepted for each token that need not be prefilled again, in milliseconds.
	*/
	readonly rereadMsPerToken: number;
	/**
	Initial estimate of an engine's prefill rate, in tokens per millisecond.
	*/
	readonly prefillTokensPerMs: number;
	/**
	Whether there is an idle connection to an address; if not set, new connections add no cost.
	*/
	readonly hasConnection?: (address: string) => boolean;
	/**
	Nodes among which the limits of endpoints are divided; the node is alone without it.
	*/
	readonly fleet?: FleetNodes;
	/**
	Called for each prompt that is sent to an endpoint.
	*/
	readonly onPlacement?: () => void;
	/**
	Called when room may have come free: at an incarnation at which a request of this node has ended, or anywhere (`undefined`) since
	an endpoint has joined or a peer has reported its load.
	*/
	readonly onRoom?: (incarnation: string | undefined) => void;
};
