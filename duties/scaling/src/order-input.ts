import type {PoolScaling} from '@valvesaddle/gateway-types';
import type {ReplicaCount} from './replica-count.ts';

/**
Target and current replicas of a pool.
*/
export type OrderInput = {
	readonly pool: string;
	readonly scaling: PoolScaling;
	/**
	Target number of replicas in all data centres.
	*/
	readonly count: number;
	/**
	Replicas that the current load needs; `count` also covers the recent peak.
	*/
	readonly needed: number;
	readonly ready: readonly ReplicaCount[];
};
