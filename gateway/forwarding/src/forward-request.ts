import type {GatewayAccount, RequestFacts, Route} from '@valvesaddle/gateway-types';

/**
A caller's request, read in full and allowed by the configuration.
*/
export type ForwardRequest = {
	readonly metadata: RequestFacts;
	readonly route: Route;
	/**
	Version of the configuration that allowed it.
	*/
	readonly version: number;
	/**
	Service pool drawn from the route's targets.
	*/
	readonly pool: string;
	/**
	Whether the pool's endpoints are model engines, which order their work by urgency.
	*/
	readonly isEnginePool: boolean;
	readonly account: GatewayAccount | undefined;
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array | undefined;
	/**
	Steady time at which the request's head had arrived, in milliseconds.
	*/
	readonly arrivedAt: number;
};
