import type {DutyPlatform, DutyProof} from '@valvesaddle/duty-types';
import type {ServicePool} from '@valvesaddle/gateway-types';
import type {Logger} from '@valvesaddle/logger';
import type {Metrics} from '@valvesaddle/metrics';
import type {PoolLoad} from './pool-load.ts';
import type {ReplicaCount} from './replica-count.ts';

/**
Options of `createScaler`.
*/
export type ScalerOptions = {
	readonly platform: Pick<DutyPlatform, 'orderReplicas'>;
	readonly getProof: () => DutyProof | undefined;
	/**
	Checks whether the store still names this node as the holder.
	*/
	readonly confirm: () => Promise<boolean>;
	/**
	Acquires a higher fencing token, so that the platform refuses calls with the previous one.
	*/
	readonly raiseToken: () => Promise<number | undefined>;
	readonly listPools: () => readonly ServicePool[];
	/**
	Ready replicas of a pool.
	*/
	readonly countReady: (pool: string) => readonly ReplicaCount[];
	readonly measurePoolLoad: (pool: string) => PoolLoad;
	/**
	Minimum number of replicas, as a share of the maximum.
	*/
	readonly minimumShare: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
