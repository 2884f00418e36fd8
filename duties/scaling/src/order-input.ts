import type {PoolScaling} from '@valvesaddle/gateway-types';
import type {ReplicaCount} from './replica-count.ts';

/**
What orders are decided by.
*/
export type OrderInput = {
	readonly pool: string;
	readonly scaling: PoolScaling;
	/**
	Replicas that are wanted in all.
	*/
	readonly count: number;
	/**
	Replicas that the work needs now.
	*/
	readonly needed: number;
	readonly ready: readonly ReplicaCount[];
};
