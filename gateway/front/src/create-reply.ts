import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Interruption, Reply} from '@valvesaddle/forwarding';
import {endIncomplete} from './end-incomplete.ts';
import {formatChunk} from './format-chunk.ts';
import {sendRefusal} from './send-refusal.ts';

/**
 Creates the reply to a caller over its HTTP connection.

 @param response - The HTTP server's response.
 @param isLeaving - Whether the answer asks the caller to close its connection.
 @param onAbort - Called before an answer is ended incomplete.
 @example
 const reply = createReply(response, () => false);
 reply.answer(200, ['content-type', 'text/plain'], Buffer.from('ok'));
 */
export function createReply(response: ServerResponse, isLeaving: () => boolean, onAbort?: (interruption: Interruption) => void): Reply {
	function toHead(headers: string[]): string[] {
		return isLeaving() ? [...headers, 'connection', 'close'] : headers;
	}

	return {
		answer(status, headers, body) {
			response.writeHead(status, toHead([...headers, 'content-length', String(body.length)]));
			response.end(body);
		},
		start(status, headers) {
			response.writeHead(status, toHead(headers));
			response.flushHeaders();
		},
		write(bytes) {
			const socket = findWritableSocket(response);
			return socket === undefined ? response.write(bytes) : socket.write(formatChunk(bytes));
		},
		onDrain(resume) {
			(findWritableSocket(response) ?? response).once('drain', resume);
		},
		end() {
			response.end();
		},
		abort(interruption) {
			onAbort?.(interruption);
			endIncomplete(response);
		},
		refuse(error) {
			sendRefusal(response, error, isLeaving());
		},
	};
}

/**
Finds the socket once the head is sent and no earlier answer is open on the connection. Each chunk is then one write, instead of
three by the HTTP server: length, data and line end.
*/
function findWritableSocket({chunkedEncoding, socket, headersSent}: ServerResponse): Socket | undefined {
	return headersSent && chunkedEncoding && socket?.writable === true ? socket : undefined;
}
