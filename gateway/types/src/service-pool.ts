import type {EngineTraits} from './engine-traits.ts';

/**
Endpoints that can stand in for each other.
*/
export type ServicePool = {
	readonly name: string;
	/**
	Set for pools of model engines.
	*/
	readonly engine: EngineTraits | undefined;
};
