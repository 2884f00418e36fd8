import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';

/**
Keeps the HTTP server's own answers away from connections on which a request still waits for its answer.
*/
export type ConnectionGuard = {
	/**
	Notes a request whose answer is open from now on.
	*/
	readonly add: (request: IncomingMessage, response: ServerResponse) => void;
	/**
	Whether a connection is closed as soon as the answers that were open on it have ended.
	*/
	readonly isEnding: (socket: Duplex) => boolean;
	/**
	Takes what the server says of a connection: it broke, or brought what cannot be read or came too slowly.
	*/
	readonly handleError: (error: NodeJS.ErrnoException, socket: Duplex) => void;
};
