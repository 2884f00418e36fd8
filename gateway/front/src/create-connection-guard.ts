import {STATUS_CODES, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {getParserStatus} from '@valvesaddle/http-server';
import {closeLingering} from './close-lingering.ts';
import type {ConnectionGuard} from './connection-guard.ts';
import type {FrontOptions} from './front-options.ts';

/**
Parser's error code for a connection that the caller closed within a request.
*/
const callerEndedCode = 'HPE_INVALID_EOF_STATE';

/**
 Creates the guard of callers' connections. After an error, the open answers of a connection are completed before it is closed.
 The parser's error status is sent only if no answer is open.

 @example
 const guard = createConnectionGuard({logger, metrics});
 server.on('clientError', guard.handleError);
 */
export function createConnectionGuard({logger, metrics}: Pick<FrontOptions, 'logger' | 'metrics'>): ConnectionGuard {
	/**
	Requests with open answers, in order of arrival.
	*/
	const open = new WeakMap<Socket, Map<ServerResponse, IncomingMessage>>();
	const ending = new WeakSet<Socket>();

	/**
	Lists the open answers. An incomplete request will not be completed after an error, so it counts only if its refusal is being sent.
	*/
	function listOpen(socket: Socket): ServerResponse[] {
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

	function sendParserStatus(socket: Socket, status: number): void {
		socket.write(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`);
		closeLingering(socket);
	}

	/**
	Closes the connection after the last open answer, since answers are sent in order.
	*/
	function closeAfter(response: ServerResponse, socket: Socket): void {
		response.shouldKeepAlive = false;
		response.once('close', () => {
			closeLingering(socket);
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
				// The caller has disconnected, so its open requests are cancelled.
				socket.end();
			}

			// The parser repeats its error for all further data; only the first one is logged. After the last answer it does not matter.
			if (ending.has(socket) || (last === undefined && socket.writableEnded)) {
				return;
			}

			ending.add(socket);
			const status = last === undefined && socket.writable ? getParserStatus(error.code ?? '') : undefined;
			record(error, answers.length, status);
			if (status !== undefined) {
				// Sent only if no answer is open; otherwise the caller would read it as the answer of an earlier request.
				sendParserStatus(socket, status);
			} else if (last !== undefined) {
				closeAfter(last, socket);
			}
		},
	};
}
