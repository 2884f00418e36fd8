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
	Asks whether the store still names this node as the holder.
	*/
	readonly confirm: () => Promise<boolean>;
	/**
	Takes a higher token, so that calls with the one before are refused whenever they arrive.
	*/
	readonly raiseToken: () => Promise<number | undefined>;
	readonly listPools: () => readonly ServicePool[];
	/**
	Replicas of a pool that serve.
	*/
	readonly countReady: (pool: string) => readonly ReplicaCount[];
	readonly measurePoolLoad: (pool: string) => PoolLoad;
	/**
	Fewest replicas, as a part of the most that are allowed.
	*/
	readonly minimumShare: number;
	readonly logger: Logger;
	readonly metrics: Metrics;
};
