export {createWaitingQueue} from './create-waiting-queue.ts';
export type {QueuedRequest} from './queued-request.ts';
export type {WaitingQueue} from './waiting-queue.ts';
