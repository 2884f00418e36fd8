import type {Socket} from 'node:net';
import type {ArrivedRequest} from './arrived-request.ts';

/**
Writes the answer to a request, down to the byte.
*/
export type EndpointBehaviour = (request: ArrivedRequest, socket: Socket) => void;
