import {
	STATUS_CODES,
	type IncomingMessage,
	type Server,
	type ServerResponse,
} from 'node:http';
import type {Duplex} from 'node:stream';
import {getParserStatus} from './get-parser-status.ts';

/**
How long a connection stays open for the caller to read the status of its unreadable request, in milliseconds. Closing it at
once would reset it if more data arrives, and the caller could lose the status.
*/
const lingerMs = 500;
/**
Parser's error code for a connection that the caller closed within a request.
*/
const callerEndedCode = 'HPE_INVALID_EOF_STATE';

type ErrorGuardOptions = {
	readonly server: Server;
	/**
	Called once for each connection that fails or on which a request cannot be read.
	*/
	readonly onError: (code: string) => void;
};

/**
 Adds a guard to a server, which completes the open answers of a connection on which further bytes cannot be read. Without
 it the server closes such a connection, or writes the status of the unreadable bytes as the answer of an earlier request.

 @example
 addErrorGuard({server, onError(code) {}});
 */
export function addErrorGuard({server, onError}: ErrorGuardOptions): void {
	/**
	Requests with open answers, in order of arrival.
	*/
	const open = new WeakMap<Duplex, Map<ServerResponse, IncomingMessage>>();
	const ending = new WeakSet<Duplex>();

	/**
	Finds the last answer that is still open. An incomplete request will not be completed after an error, so it counts only
	if its refusal is being sent.
	*/
	function findLast(socket: Duplex): ServerResponse | undefined {
		return [...open.get(socket) ?? []]
			.findLast(([response, request]) => request.complete || response.headersSent)
			?.[0];
	}

	server.on('request', (request: IncomingMessage, response: ServerResponse) => {
		const {socket} = request;
		const answers = open.get(socket) ?? new Map<ServerResponse, IncomingMessage>();
		open.set(socket, answers.set(response, request));
		response.once('close', () => {
			answers.delete(response);
		});
	});
	server.on('clientError', ({code = 'unknown'}: NodeJS.ErrnoException, socket: Duplex) => {
		// The parser repeats its error for all further data.
		if (ending.has(socket)) {
			return;
		}

		ending.add(socket);
		onError(code);
		const last = findLast(socket);
		if (code === callerEndedCode || !socket.writable) {
			socket.destroy();
		} else if (last === undefined) {
			sendStatus(socket, getParserStatus(code));
		} else {
			closeAfter(last, socket);
		}
	});
}

function sendStatus(socket: Duplex, status: number): void {
	socket.end(`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}\r\nConnection: close\r\n\r\n`);
	const timer = setTimeout(() => {
		socket.destroy();
	}, lingerMs);
	socket.once('close', () => {
		clearTimeout(timer);
	});
}

/**
Closes the connection after an answer, the last one since answers are sent in order.
*/
function closeAfter(response: ServerResponse, socket: Duplex): void {
	response.shouldKeepAlive = false;
	// The parser reports nothing further, so a caller that leaves is noticed here.
	socket.once('end', () => {
		socket.destroy();
	});
	response.once('close', () => {
		socket.end(() => {
			socket.destroy();
		});
	});
}
