export {createForwarder} from './create-forwarder.ts';
export type {ForwardRequest} from './forward-request.ts';
export type {ForwardTask} from './forward-task.ts';
export type {Forwarder} from './forwarder.ts';
export type {ForwarderOptions} from './forwarder-options.ts';
export type {Interruption} from './interruption.ts';
export {pickTarget} from './pick-target.ts';
export {rankUrgency} from './rank-urgency.ts';
export type {Reply} from './reply.ts';
