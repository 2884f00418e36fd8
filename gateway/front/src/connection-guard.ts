import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
Handles connection errors so that the HTTP server's own error responses are not written while another answer is open.
*/
export type ConnectionGuard = {
	/**
	Adds a request whose answer is open from now on.
	*/
	readonly add: (request: IncomingMessage, response: ServerResponse) => void;
	/**
	Whether a connection will be closed as soon as its open answers have ended.
	*/
	readonly isEnding: (socket: Socket) => boolean;
	/**
	Handles the server's `clientError` event: a connection failed, or a request on it is malformed or arrives too slowly.
	*/
	readonly handleError: (error: NodeJS.ErrnoException, socket: Socket) => void;
};
