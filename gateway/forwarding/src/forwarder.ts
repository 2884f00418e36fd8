import type {ForwardRequest} from './forward-request.ts';
import type {ForwardTask} from './forward-task.ts';
import type {Reply} from './reply.ts';

/**
Forwards requests to endpoints and their answers to callers.
*/
export type Forwarder = {
	readonly forward: (request: ForwardRequest, reply: Reply) => ForwardTask;
	/**
	Number of requests that are being forwarded.
	*/
	readonly countOpen: () => number;
};
