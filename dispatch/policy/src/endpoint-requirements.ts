import type {GrantMode} from './grant-mode.ts';

/**
What a request needs of an endpoint.
*/
export type EndpointRequirements = {
	readonly mode: GrantMode;
	/**
	Floor of the class; used in mode `floor`.
	*/
	readonly floor: number;
	/**
	Slots of each endpoint to keep free for urgent work, as a part of its limit.
	*/
	readonly headroom: number;
	readonly promptTokens: number;
	readonly dataCentre: string;
	/**
	Endpoint that likely holds the session's prefix in its cache.
	*/
	readonly sessionEndpoint: string | undefined;
	/**
	Endpoints that failed this request already.
	*/
	readonly avoid: readonly string[];
	/**
	Whether the request may go to an endpoint on probation.
	*/
	readonly mayProbe: boolean;
};
