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
	Closes a connection that was idle for too long, unless bytes have arrived that are not read yet.
	*/
	readonly closeIdle: (socket: Socket) => void;
	readonly listOpen: () => ServerResponse[];
	readonly listOpenOn: (socket: Socket) => ServerResponse[];
	/**
	Marks an answer as the last one of its connection. Returns `false`, and marks nothing, if a later request was read already: it would
	never be answered.
	*/
	readonly endAfter: (response: ServerResponse) => boolean;
	/**
	Whether the last answer of the connection is known, so that requests behind it must not run.
	*/
	readonly isEnding: (socket: Socket) => boolean;
	/**
	Closes connections on which nothing is open, now and whenever another one becomes idle.
	*/
	readonly drain: () => void;
};
