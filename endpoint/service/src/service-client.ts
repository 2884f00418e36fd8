import type {ServiceReply} from './service-reply.ts';
import type {ServiceRequest} from './service-request.ts';

/**
Port of the plain services. `call` throws like the engines' `stream`.
*/
export type ServiceClient = {
	readonly call: (request: ServiceRequest, signal: AbortSignal) => Promise<ServiceReply>;
	readonly close: () => Promise<void>;
};
