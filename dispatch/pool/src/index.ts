export {createPoolDispatcher} from './create-pool-dispatcher.ts';
export type {LoadReport} from './load-report.ts';
export type {PoolDispatcher} from './pool-dispatcher.ts';
export type {PoolDispatcherOptions} from './pool-dispatcher-options.ts';
export type {PoolEvents} from './pool-events.ts';
export type {PoolStatus} from './pool-status.ts';
