import type {Socket} from 'node:net';
import type {ArrivedRequest} from './arrived-request.ts';

/**
Writes the answer to a request, down to the byte; what it holds back follows once `resumed` settles.
*/
export type EndpointBehaviour = (request: ArrivedRequest, socket: Socket, resumed: Promise<void>) => void | Promise<void>;
