import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {GatewayAccount, Route, ServicePool} from '@valvesaddle/gateway-types';

/**
Index of a configuration for lookups.
*/
export type RouteIndex = {
	readonly version: number;
	/**
	Route with the longest prefix that matches the path. Error: `ERR_VALVESADDLE_NO_ROUTE`.
	*/
	readonly findRoute: (host: string, path: string) => Result<Route, ValvesaddleError>;
	/**
	Client account that holds the key; `undefined` if there is none and the route needs no key. Error:
	`ERR_VALVESADDLE_UNAUTHENTICATED`.
	*/
	readonly authenticate: (route: Route, apiKey: string | undefined) => Result<GatewayAccount | undefined, ValvesaddleError>;
	readonly findPool: (name: string) => ServicePool | undefined;
};
