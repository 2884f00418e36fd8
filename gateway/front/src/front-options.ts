import type {Forwarder} from '@valvesaddle/forwarding';
import type {CallerLimits, WireFormat} from '@valvesaddle/gateway-types';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {RouteIndex} from '@valvesaddle/routes';

/**
Options of `createFront`.
*/
export type FrontOptions = {
	readonly host: string;
	readonly port: number;
	readonly wire: WireFormat;
	readonly forwarder: Forwarder;
	/**
	Configuration in force; `undefined` while none is known.
	*/
	readonly routes: () => RouteIndex | undefined;
	/**
	Limits for callers, before a configuration is known and after.
	*/
	readonly limits: () => CallerLimits;
	/**
	Whether the configuration is the newest as far as can be told, so that what it does not allow may be denied.
	*/
	readonly isCurrent: () => boolean;
	/**
	Whether the node is about to leave, so that callers are told to close their connections.
	*/
	readonly isLeaving: () => boolean;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
