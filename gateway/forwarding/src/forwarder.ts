import type {ForwardRequest} from './forward-request.ts';
import type {ForwardTask} from './forward-task.ts';
import type {Reply} from './reply.ts';

/**
Carries requests to endpoints and their answers back.
*/
export type Forwarder = {
	readonly forward: (request: ForwardRequest, reply: Reply) => ForwardTask;
	/**
	Requests on their way.
	*/
	readonly countOpen: () => number;
};
