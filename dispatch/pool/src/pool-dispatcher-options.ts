import type {Metrics} from '@valvesaddle/metrics';
import type {Configuration} from '@valvesaddle/types';

/**
Options of `createPoolDispatcher`.
*/
export type PoolDispatcherOptions = {
	readonly pool: string;
	readonly configuration: Configuration;
	/**
	Endpoints that the platform or their own word calls leaving.
	*/
	readonly leaving: ReadonlySet<string>;
	/**
	Time after opening in which only urgent work is granted, while nodes register their grants; 0 on a lone node.
	*/
	readonly warmupMs: number;
	/**
	A grant that its node does not renew for so long is taken back.
	*/
	readonly grantLeaseMs: number;
	readonly metrics: Metrics;
};
