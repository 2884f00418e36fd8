export {createWaitingQueue} from './create-waiting-queue.ts';
export type {Queued} from './queued.ts';
export type {WaitingQueue} from './waiting-queue.ts';
