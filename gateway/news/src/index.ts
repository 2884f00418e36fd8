export {createLoadAggregator} from './create-load-aggregator.ts';
export type {LoadAggregator} from './load-aggregator.ts';
export type {OriginLoadUpdate} from './origin-load-update.ts';
