import type {ByteLedger} from '@valvesaddle/buffers';
import type {Forwarder} from '@valvesaddle/forwarding';
import type {CallerLimits, WireFormat} from '@valvesaddle/gateway-types';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {ChunkPacer} from '@valvesaddle/pacing';
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
	Routes of the current configuration; `undefined` until one is loaded.
	*/
	readonly routes: () => RouteIndex | undefined;
	/**
	Limits for callers; defaults until a configuration is loaded.
	*/
	readonly limits: () => CallerLimits;
	/**
	Whether the configuration is current as far as the node can determine, so that denials are final.
	*/
	readonly isCurrent: () => boolean;
	/**
	Whether the node is shutting down, so that answers ask callers to close their connections.
	*/
	readonly isLeaving: () => boolean;
	/**
	Account of held bytes; without it they are not bounded.
	*/
	readonly ledger?: ByteLedger | undefined;
	/**
	Paces request bodies in small chunks; without it they are read as they come.
	*/
	readonly pacer?: ChunkPacer;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
