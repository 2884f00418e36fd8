export type {FakeVmList} from './fake-vm-list.ts';
export {startFakeVmList} from './start-fake-vm-list.ts';
