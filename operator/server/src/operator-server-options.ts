import type {ConfigFollower} from '@valvesaddle/config-follower';
import type {ConfigStore} from '@valvesaddle/config-store';
import type {Metrics} from '@valvesaddle/metrics';
import type {Operator} from '@valvesaddle/operator-access';
import type {NodeStatus} from './node-status.ts';

/**
Options of `createOperatorServer`.
*/
export type OperatorServerOptions = {
	readonly host: string;
	readonly port: number;
	readonly operators: readonly Operator[];
	readonly store: ConfigStore;
	readonly follower: ConfigFollower;
	readonly status: () => NodeStatus;
	/**
	Begins a graceful shutdown.
	*/
	readonly drain: () => void;
	readonly metrics: Metrics;
};
