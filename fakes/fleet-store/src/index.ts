export type {FakeFleetStore} from './fake-fleet-store.ts';
export {createFakeConfiguration} from './create-fake-configuration.ts';
export {startFakeFleetStore} from './start-fake-fleet-store.ts';
export type {StoreFault} from './store-fault.ts';
