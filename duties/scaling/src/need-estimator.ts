import type {Need} from './need.ts';
import type {PoolLoad} from './pool-load.ts';

/**
Estimates how many replicas a pool needs.
*/
export type NeedEstimator = {
	readonly update: (work: PoolLoad) => Need;
};
