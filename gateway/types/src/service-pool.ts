import type {EngineTraits} from './engine-traits.ts';
import type {PoolScaling} from './pool-scaling.ts';

/**
Endpoints that can stand in for each other.
*/
export type ServicePool = {
	readonly name: string;
	/**
	Set for pools of model engines.
	*/
	readonly engine: EngineTraits | undefined;
	/**
	Set for pools whose replicas are ordered.
	*/
	readonly scaling?: PoolScaling;
};
