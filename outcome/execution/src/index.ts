export {createExecutor} from './create-executor.ts';
export type {EngineWork} from './engine-work.ts';
export type {Executor} from './executor.ts';
export type {ExecutorEvents} from './executor-events.ts';
export type {ExecutorOptions} from './executor-options.ts';
export type {Job} from './job.ts';
export type {JobClaim} from './job-claim.ts';
export type {ServiceWork} from './service-work.ts';
