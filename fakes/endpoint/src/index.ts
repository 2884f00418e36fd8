export type {ArrivedRequest} from './arrived-request.ts';
export {behaviours} from './behaviours.ts';
export type {EndpointBehaviour} from './endpoint-behaviour.ts';
export type {FakeEndpoint} from './fake-endpoint.ts';
export {startFakeEndpoint} from './start-fake-endpoint.ts';
