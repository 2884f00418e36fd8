import type {EngineCapacity} from './engine-capacity.ts';
import type {PoolScaling} from './pool-scaling.ts';

/**
Endpoints that can stand in for each other.
*/
export type ServicePool = {
	readonly name: string;
	/**
	Set for pools of model engines.
	*/
	readonly engine: EngineCapacity | undefined;
	/**
	Set for pools whose replicas are ordered.
	*/
	readonly scaling?: PoolScaling;
};
