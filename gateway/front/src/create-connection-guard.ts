import {STATUS_CODES, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Duplex} from 'node:stream';
import type {ConnectionGuard} from './connection-guard.ts';
import type {FrontOptions} from './front-options.ts';
import {getParserStatus} from './get-parser-status.ts';

/**
How long a connection on which a request could not be read stays open for the caller to close it, in milliseconds. Closing at
once would reset it while it still brings bytes, and the answer could be lost.
*/
const lingerMs = 500;
/**
Code for a connection that its caller ended within a request.
*/
const callerEndedCode = 'HPE_INVALID_EOF_STATE';

/**
 Creates the guard of callers' connections. The answers that are open on a connection end before it is closed; only where none
 is open the parser's own status is answered.

 @example
 const guard = createConnectionGuard({logger, metrics});
 server.on('clientError', guard.handleError);
 */
export function createConnectionGuard({logger, metrics}: Pick<FrontOptions, 'logger' | 'metrics'>): ConnectionGuard {
	/**
	Requests whose answers are open, in the order in which they came.
	*/
	const open = new WeakMap<Duplex, Map<ServerResponse, IncomingMessage>>();
	const ending = new WeakSet<Duplex>();

	/**
	A request that is not whole will never be, so unless its refusal is on the way nothing of it is open.
	*/
	function listOpen(socket: Duplex): ServerResponse[] {
		return [...open.get(socket) ?? []]
			.filter(([response, request]) => request.complete || response.headersSent)
			.map(([response]) => response);
	}

	function record({code = 'unknown', message}: NodeJS.ErrnoException, openAnswers: number, status: number | undefined): void {
		metrics.increment('gateway.connection-errors', 1, {code});
		logger.info({
			name: 'connection-failed', code, reason: message, openAnswers, status,
		});
	}

	function sendParserStatus(socket: Duplex, status: number): void {
		socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`);
		const timer = setTimeout(() => {
			socket.destroy();
		}, lingerMs);
		socket.once('close', () => {
			clearTimeout(timer);
		});
	}

	/**
	Answers go out in order, so the last one ends the connection.
	*/
	function closeAfter(response: ServerResponse, socket: Duplex): void {
		response.shouldKeepAlive = false;
		response.once('close', () => {
			socket.end(() => {
				socket.destroy();
			});
		});
	}

	return {
		add(request, response) {
			const {socket} = request;
			const answers = open.get(socket) ?? new Map<ServerResponse, IncomingMessage>();
			open.set(socket, answers.set(response, request));
			response.once('close', () => {
				answers.delete(response);
			});
		},
		isEnding: socket => ending.has(socket),
		handleError(error, socket) {
			const answers = listOpen(socket);
			const last = answers.at(-1);
			if (last !== undefined && error.code === callerEndedCode) {
				// The caller has left: its runs are to end, as when it leaves between two requests.
				socket.end();
			}

			// The parser repeats its error for whatever comes after it; the first one has its line.
			if (ending.has(socket)) {
				return;
			}

			ending.add(socket);
			const status = last === undefined && socket.writable ? getParserStatus(error.code ?? '') : undefined;
			record(error, answers.length, status);
			if (status !== undefined) {
				// Written over an open answer it would be taken for that of a request that runs.
				sendParserStatus(socket, status);
			} else if (last !== undefined) {
				closeAfter(last, socket);
			}
		},
	};
}
