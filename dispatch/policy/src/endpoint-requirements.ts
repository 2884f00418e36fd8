import type {GrantMode} from './grant-mode.ts';
import type {MemoryClaim} from './memory-claim.ts';

/**
Requirements that an endpoint must meet to be granted to a request.
*/
export type EndpointRequirements = {
	readonly mode: GrantMode;
	/**
	Floor of the class, as a share of an endpoint's limit; used in mode `floor`.
	*/
	readonly floor: number;
	/**
	Share of each endpoint's limit that is reserved for urgent requests.
	*/
	readonly headroom: number;
	readonly promptTokens: number;
	readonly dataCentre: string;
	/**
	Endpoint that probably has the session's prefix in its cache.
	*/
	readonly sessionEndpoint: string | undefined;
	/**
	Endpoints on which this request has already failed.
	*/
	readonly avoid: readonly string[];
	/**
	Whether the request may be sent to an endpoint in state `probing`.
	*/
	readonly mayProbe: boolean;
	/**
	Memory that the request would hold if it were granted now; `undefined` if memory does not matter.
	*/
	readonly memory?: MemoryClaim;
};
