import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {GatewayAccount, Route, ServicePool} from '@valvesaddle/gateway-types';

/**
A configuration compiled for look-ups.
*/
export type RouteIndex = {
	readonly version: number;
	/**
	Route of the longest prefix that begins the path. Error: `ERR_VALVESADDLE_NO_ROUTE`.
	*/
	readonly findRoute: (host: string, path: string) => Result<Route, ValvesaddleError>;
	/**
	Client account that holds the key; `undefined` when the route needs none. Error: `ERR_VALVESADDLE_UNAUTHENTICATED`.
	*/
	readonly authenticate: (route: Route, apiKey: string | undefined) => Result<GatewayAccount | undefined, ValvesaddleError>;
	readonly findPool: (name: string) => ServicePool | undefined;
};
