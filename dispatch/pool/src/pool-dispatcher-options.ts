import type {Metrics} from '@valvesaddle/metrics';
import type {Configuration} from '@valvesaddle/types';

/**
Options of `createPoolDispatcher`.
*/
export type PoolDispatcherOptions = {
	readonly pool: string;
	readonly configuration: Configuration;
	/**
	Ids of endpoints that are draining, as the platform or the endpoint reported.
	*/
	readonly leaving: ReadonlySet<string>;
	/**
	Time after the start in which only urgent requests are granted, while nodes register their open grants; 0 on a single
	node.
	*/
	readonly warmupMs: number;
	/**
	Grants that their node doesn't renew for this time are removed.
	*/
	readonly grantLeaseMs: number;
	readonly metrics: Metrics;
};
