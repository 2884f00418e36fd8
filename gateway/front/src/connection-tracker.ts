import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/**
Tracks the connections of callers and the answers that are open on them. An answer is open from the head of its request until its
last byte is handed to the system, or its connection is closed.
*/
export type ConnectionTracker = {
	readonly add: (socket: Socket) => void;
	/**
	Adds a request whose answer is open from now on.
	*/
	readonly addRequest: (request: IncomingMessage, response: ServerResponse) => void;
	/**
	Closes connections on which nothing is open, now and whenever another one becomes idle.
	*/
	readonly drain: () => void;
};
