import type {KnownEndpoint} from './known-endpoint.ts';

/**
Ejects endpoints on the evidence of all nodes.
*/
export type EvidenceWatch = {
	/**
	Decides anew on the endpoints of a pool.
	*/
	readonly update: (pool: string, ready: readonly KnownEndpoint[]) => void;
	/**
	Whether a request may be sent to an endpoint: it is not ejected, or this request may probe it.
	*/
	readonly canUse: (endpoint: string, canProbe: boolean) => boolean;
	/**
	Whether a pool fails as a whole.
	*/
	readonly isPoolFailing: (pool: string) => boolean;
	readonly removeEndpoint: (endpoint: string) => void;
};
