export type {EngineCounts} from './engine-counts.ts';
export type {EngineFault} from './engine-fault.ts';
export type {FakeEngine} from './fake-engine.ts';
export type {FakeEngineOptions} from './fake-engine-options.ts';
export {createToken} from './create-token.ts';
export {startFakeEngine} from './start-fake-engine.ts';
