import type {Need} from './need.ts';
import type {PoolWork} from './pool-work.ts';

/**
Estimates how many replicas a pool needs.
*/
export type NeedEstimator = {
	readonly update: (work: PoolWork) => Need;
};
