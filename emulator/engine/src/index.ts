export {createEngine} from './create-engine.ts';
export type {Engine} from './engine.ts';
export type {EngineJob} from './engine-job.ts';
export type {EngineProfile} from './engine-profile.ts';
export type {LeftRequest} from './left-request.ts';
