import type {Metrics} from '@valvesaddle/metrics';
import type {Tracing} from '@valvesaddle/tracing';
import type {NodeStatus} from '@valvesaddle/operator-server';
import type {RouterAddresses} from './router-addresses.ts';

/**
A router node.
*/
export type Router = {
	/**
	Starts all components; resolves when the node listens.
	*/
	readonly start: () => Promise<RouterAddresses>;
	readonly status: () => NodeStatus;
	/**
	Ids of the requests whose answers are not complete.
	*/
	readonly openRequestIds: () => readonly string[];
	/**
	Graceful shutdown; resolves when the last open request has ended and all components are closed.
	*/
	readonly drain: () => Promise<void>;
	/**
	Immediate shutdown, which aborts open requests.
	*/
	readonly close: () => Promise<void>;
	readonly metrics: Metrics;
	readonly tracing: Tracing;
};
