export type {FakeService} from './fake-service.ts';
export type {ServiceFault} from './service-fault.ts';
export {startFakeService} from './start-fake-service.ts';
