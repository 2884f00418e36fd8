import type {Need} from './need.ts';
import type {PoolLoad} from './pool-load.ts';

/**
Estimates the replica demand of a pool.
*/
export type NeedEstimator = {
	readonly update: (load: PoolLoad) => Need;
};
