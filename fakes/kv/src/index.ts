export type {FakeKv} from './fake-kv.ts';
export type {KvFault} from './kv-fault.ts';
export {startFakeKv} from './start-fake-kv.ts';
