import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import type {Reply} from '@valvesaddle/forwarding';
import {formatChunk} from './format-chunk.ts';
import {sendRefusal} from './send-refusal.ts';

/**
 Creates the reply to a caller over its connection.

 @example
 const reply = createReply(response, () => false);
 reply.answer(200, ['content-type', 'text/plain'], Buffer.from('ok'));
 */
export function createReply(response: ServerResponse, isLeaving: () => boolean): Reply {
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
		abort() {
			response.destroy();
		},
		refuse(error) {
			sendRefusal(response, error, isLeaving());
		},
	};
}

/**
The connection, once its turn is this answer's and the head has gone out. A piece is then one write in place of the three that
the HTTP server makes of it: length, bytes and end of line.
*/
function findWritableSocket({chunkedEncoding, socket, headersSent}: ServerResponse): Socket | undefined {
	return headersSent && chunkedEncoding && socket?.writable === true ? socket : undefined;
}
