import type {ByteHold} from '@valvesaddle/buffers';
import type {GatewayAccount, RequestMetadata, Route} from '@valvesaddle/gateway-types';

/**
A caller's request, with its whole body read and its route and client account resolved.
*/
export type ForwardRequest = {
	readonly metadata: RequestMetadata;
	readonly route: Route;
	/**
	Version of the configuration that it was resolved with.
	*/
	readonly version: number;
	/**
	Service pool, drawn from the route's targets by weight.
	*/
	readonly pool: string;
	/**
	Whether the pool's endpoints are model engines, which order requests by urgency.
	*/
	readonly isEnginePool: boolean;
	readonly account: GatewayAccount | undefined;
	readonly method: string;
	readonly path: string;
	readonly rawHeaders: readonly string[];
	readonly body: Uint8Array | undefined;
	/**
	What the node holds for the request; missing while held bytes are not bounded.
	*/
	readonly hold?: ByteHold;
	/**
	When the request's headers arrived, in milliseconds on the monotonic clock.
	*/
	readonly arrivedAt: number;
};
