export type {ArrivedRequest} from './arrived-request.ts';
export {behaviours} from './behaviours.ts';
export type {EndpointBehaviour} from './endpoint-behaviour.ts';
export type {FakeEndpoint} from './fake-endpoint.ts';
export {formatAnswer} from './format-answer.ts';
export {formatStreamHead} from './format-stream-head.ts';
export {notRunMark} from './not-run-mark.ts';
export {signature} from './signature.ts';
export {startFakeEndpoint} from './start-fake-endpoint.ts';
