import type {ServiceReply} from './service-reply.ts';
import type {ServiceRequest} from './service-request.ts';

/**
Client of the plain services. `call` throws the same errors as `stream` of the engine client.
*/
export type ServiceClient = {
	readonly call: (request: ServiceRequest, signal: AbortSignal) => Promise<ServiceReply>;
	readonly close: () => Promise<void>;
};
