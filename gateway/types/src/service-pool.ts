import type {EngineCapacity} from './engine-capacity.ts';
import type {PoolScaling} from './pool-scaling.ts';

/**
A pool of interchangeable endpoints.
*/
export type ServicePool = {
	readonly name: string;
	/**
	Set for pools of model engines.
	*/
	readonly engine: EngineCapacity | undefined;
	/**
	Set for pools whose replicas are scaled.
	*/
	readonly scaling?: PoolScaling;
};
