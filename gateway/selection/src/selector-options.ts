import type {EjectionNotice} from './ejection-notice.ts';
import type {FleetNodes} from './fleet-nodes.ts';
import type {ImpossibleMemory} from './impossible-memory.ts';

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
	Whether that delay is for engines of the initial prefill rate, and less for faster ones; if not set, it is the same for all.
	*/
	readonly isRereadByRate?: boolean;
	/**
	Initial estimate of an engine's prefill rate, in tokens per millisecond.
	*/
	readonly prefillTokensPerMs: number;
	/**
	Maximum share of a pool's endpoints that is reserved for the streams with its shortest pause objective; 0, the default, for none.
	*/
	readonly reservedShare?: number;
	/**
	Called when the number of reserved endpoints of a pool changes, with the number of streams that they were planned for.
	*/
	readonly onReserved?: (pool: string, reserved: number, streams: number) => void;
	/**
	Whether the memory of engines is predicted, so that a request is sent to one whose memory has room; if not set, it is not.
	*/
	readonly isMemoryPredicted?: boolean;
	/**
	Called with what a peer told of an engine's memory that its open requests cannot hold; it is limited to what they can.
	*/
	readonly onImpossibleMemory?: (told: ImpossibleMemory) => void;
	/**
	Whether there is an idle connection to an address; if not set, new connections add no cost.
	*/
	readonly hasConnection?: (address: string) => boolean;
	/**
	Nodes among which the limits of endpoints are divided; the node is alone without it.
	*/
	readonly fleet?: FleetNodes;
	/**
	Size from which a body is large, in bytes, and how many of these the node has open at one endpoint at most; unbounded without it.
	*/
	readonly largeBodies?: {readonly largeBytes: number; readonly most: number} | undefined;
	/**
	Whether nodes tell each other how requests ended at endpoints, and eject endpoints on the evidence of all.
	*/
	readonly isEvidenceShared?: boolean;
	/**
	Whether endpoints without an engine are chosen by the pace that their answers to all nodes show.
	*/
	readonly isPlainPaced?: boolean;
	/**
	Called when an endpoint is ejected on the evidence of all nodes, or returned to service.
	*/
	readonly onEjection?: (notice: EjectionNotice) => void;
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
