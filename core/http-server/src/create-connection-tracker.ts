import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import type {ConnectionTracker} from './connection-tracker.ts';

/**
Interval at which a server that drains looks for connections to close, in milliseconds.
*/
const checkIntervalMs = 50;
/**
Time that a request without an open answer gets to arrive completely, in milliseconds: one whose headers are on their way,
or the rest of a body that was refused early. Closing its connection at once would reset it, and the caller could lose the
refusal.
*/
const lingerMs = 500;

type Connection = {
	/**
	Answers that were not handed to the operating system completely.
	*/
	openAnswers: number;
	lastRequest: IncomingMessage | undefined;
	/**
	Bytes read when the last exchange ended.
	*/
	bytesRead: number;
	/**
	Time since which a request arrives without an open answer, on the monotonic clock; `undefined` if none does.
	*/
	arrivingSince: number | undefined;
};

/**
 Creates the tracker of a server's connections. Has to be created before the server listens.

 @example
 const tracker = createConnectionTracker(server);
 await tracker.drain();
 */
export function createConnectionTracker(server: Server): ConnectionTracker {
	const connections = new Map<Socket, Connection>();

	function addConnection(socket: Socket): void {
		connections.set(socket, {
			openAnswers: 0, lastRequest: undefined, bytesRead: 0, arrivingSince: undefined,
		});
		socket.once('close', () => {
			connections.delete(socket);
		});
	}

	function addExchange(request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		const connection = connections.get(socket);
		if (connection === undefined) {
			return;
		}

		const recordRead = (): void => {
			connection.bytesRead = socket.bytesRead;
		};

		connection.openAnswers++;
		connection.lastRequest = request;
		request.once('close', recordRead);
		response.once('close', () => {
			connection.openAnswers--;
			recordRead();
		});
	}

	function isArriving(socket: Socket, {lastRequest, bytesRead}: Connection): boolean {
		return lastRequest?.complete === false || socket.bytesRead > bytesRead;
	}

	/**
	Closes a connection after its last bytes, if no answer is open on it.
	*/
	function closeIdle(socket: Socket, connection: Connection, now: number): void {
		if (connection.openAnswers > 0 || !isArriving(socket, connection)) {
			connection.arrivingSince = undefined;
		} else {
			connection.arrivingSince ??= now;
		}

		const {openAnswers, arrivingSince = -Infinity} = connection;
		if (openAnswers === 0 && now - arrivingSince >= lingerMs) {
			socket.destroySoon();
		}
	}

	function closeAllIdle(): void {
		const now = performance.now();
		for (const [socket, connection] of connections) {
			closeIdle(socket, connection, now);
		}
	}

	server.on('connection', addConnection);
	server.on('request', addExchange);

	return {
		countOpen: () => connections.values().reduce((sum, {openAnswers}) => sum + openAnswers, 0),
		async drain() {
			if (!server.listening) {
				return;
			}

			const {promise, resolve} = Promise.withResolvers<void>();
			// The method of HTTP servers also destroys connections whose answers wait to be sent.
			NetServer.prototype.close.call(server, () => {
				resolve();
			});
			closeAllIdle();
			const timer = setInterval(closeAllIdle, checkIntervalMs);
			await promise;
			clearInterval(timer);
		},
	};
}
