import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {createChunkCollector} from '@valvesaddle/buffers';
import type {Interruption} from '@valvesaddle/forwarding';
import type {CallerReply} from './caller-reply.ts';
import {endIncomplete} from './end-incomplete.ts';
import {formatChunk} from './format-chunk.ts';
import {sendRefusal} from './send-refusal.ts';

/**
 Creates the reply to a caller over its HTTP connection. While the connection takes nothing, the chunks of a streamed answer are
 gathered, since each write of its own would take several hundred bytes in the queue of the connection.

 @param response - The HTTP server's response.
 @param isLeaving - Whether the answer asks the caller to close its connection.
 @param onAbort - Called before an answer is ended incomplete.
 @example
 const reply = createReply(response, () => false);
 reply.answer(200, ['content-type', 'text/plain'], Buffer.from('ok'));
 */
export function createReply(response: ServerResponse, isLeaving: () => boolean, onAbort?: (interruption: Interruption) => void): CallerReply {
	const gathered = createChunkCollector();

	function toHead(headers: string[]): string[] {
		return isLeaving() ? [...headers, 'connection', 'close'] : headers;
	}

	function writeGathered(): void {
		if (gathered.countBytes() === 0 || response.destroyed) {
			return;
		}

		const bytes = gathered.take();
		const socket = findWritableSocket(response);
		if (socket === undefined) {
			response.write(bytes);
		} else {
			socket.write(formatChunk(bytes));
		}
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
			const writable = findWritableSocket(response) ?? response;
			const isFirst = gathered.countBytes() === 0;
			gathered.push(bytes);
			if (!writable.writableNeedDrain) {
				writeGathered();
			} else if (isFirst) {
				writable.once('drain', writeGathered);
			}

			return !writable.writableNeedDrain;
		},
		onDrain(resume) {
			(findWritableSocket(response) ?? response).once('drain', resume);
		},
		end() {
			writeGathered();
			response.end();
		},
		abort(interruption) {
			onAbort?.(interruption);
			writeGathered();
			endIncomplete(response);
		},
		refuse(error) {
			sendRefusal(response, error, isLeaving());
		},
		countGathered: gathered.measureHeld,
	};
}

/**
Finds the socket once the head is sent and no earlier answer is open on the connection. Each chunk is then one write, instead of
three by the HTTP server: length, data and line end.
*/
function findWritableSocket({chunkedEncoding, socket, headersSent}: ServerResponse): Socket | undefined {
	return headersSent && chunkedEncoding && socket?.writable === true ? socket : undefined;
}
