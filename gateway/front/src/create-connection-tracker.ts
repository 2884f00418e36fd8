import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {closeLingering} from './close-lingering.ts';
import type {ConnectionTracker} from './connection-tracker.ts';

/**
How long a connection of a draining node stays open after its last answer, in milliseconds. A request that its caller sends
at once is still refused, instead of finding the connection closed.
*/
const idleMs = 100;

type Connection = {
	readonly answers: Set<ServerResponse>;
	newest: ServerResponse | undefined;
	/**
	Whether the newest answer is the last one.
	*/
	isEnding: boolean;
	/**
	Bytes that had been read when the connection became idle.
	*/
	idleBytes: number;
};

/**
 Creates the tracker of callers' connections. Node.js counts a connection as idle once the answer was passed to its HTTP server, and
 would discard the bytes that still wait for the caller.

 @example
 const tracker = createConnectionTracker();
 server.on('connection', tracker.add);
 */
export function createConnectionTracker(): ConnectionTracker {
	const connections = new Map<Socket, Connection>();
	let isDraining = false;

	/**
	Closes a connection on which nothing is open and no more than these bytes were read. A socket that was ended is closed by whoever
	ended it.
	*/
	function closeUnlessUsed(socket: Socket, bytesRead: number | undefined): void {
		// Timers may run before bytes that have arrived are read.
		setImmediate(() => {
			const hasOpen = connections.get(socket)?.answers.size !== 0;
			if (!hasOpen && socket.bytesRead === bytesRead && !socket.writableEnded) {
				socket.destroy();
			}
		});
	}

	/**
	Closes a connection soon, unless a request begins on it. One whose head does not go on is left to the timeout for heads.
	*/
	function closeSoon(socket: Socket): void {
		setTimeout(() => {
			closeUnlessUsed(socket, connections.get(socket)?.idleBytes);
		}, idleMs);
	}

	return {
		add(socket) {
			connections.set(socket, {
				answers: new Set(), newest: undefined, isEnding: false, idleBytes: 0,
			});
			// The HTTP server closes a connection in this way after the last answer.
			socket.destroySoon = () => {
				closeLingering(socket);
			};

			socket.once('close', () => {
				connections.delete(socket);
			});
			if (isDraining) {
				closeSoon(socket);
			}
		},
		addRequest({socket}, response) {
			const connection = connections.get(socket);
			if (connection === undefined) {
				return;
			}

			connection.answers.add(response);
			connection.newest = response;
			response.once('close', () => {
				connection.answers.delete(response);
				if (connection.answers.size > 0) {
					return;
				}

				connection.idleBytes = socket.bytesRead;
				if (isDraining) {
					closeSoon(socket);
				}
			});
		},
		closeIdle(socket) {
			closeUnlessUsed(socket, socket.bytesRead);
		},
		listOpenOn: socket => [...connections.get(socket)?.answers ?? []],
		listOpen: () => connections.values().flatMap(({answers}) => answers).toArray(),
		endAfter(response) {
			const connection = connections.get(response.req.socket);
			if (connection?.newest !== response) {
				return false;
			}

			connection.isEnding = true;
			return true;
		},
		isEnding: socket => socket.writableEnded || connections.get(socket)?.isEnding === true,
		drain() {
			isDraining = true;
			for (const socket of connections.keys()) {
				closeSoon(socket);
			}
		},
	};
}
