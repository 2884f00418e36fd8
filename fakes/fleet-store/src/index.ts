export type {FakeFleetStore} from './fake-fleet-store.ts';
export {createFakeEntry} from './create-fake-entry.ts';
export {createFakeConfiguration} from './create-fake-configuration.ts';
export {startFakeFleetStore} from './start-fake-fleet-store.ts';
export type {StoreFault} from './store-fault.ts';
