export {startFakeDutyApi} from './start-fake-duty-api.ts';
export type {DutyFault} from './duty-fault.ts';
export type {FakeDutyApi} from './fake-duty-api.ts';
export type {FakeDutyCall} from './fake-duty-call.ts';
