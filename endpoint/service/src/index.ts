export {createServiceClient} from './create-service-client.ts';
export type {ServiceClient} from './service-client.ts';
export type {ServiceClientOptions} from './service-client-options.ts';
export type {ServiceReply} from './service-reply.ts';
export type {ServiceRequest} from './service-request.ts';
