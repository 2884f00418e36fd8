import type {ServerResponse} from 'node:http';
import type {Reply} from '@valvesaddle/forwarding';
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
		begin(status, headers) {
			response.writeHead(status, toHead(headers));
			response.flushHeaders();
		},
		write: bytes => response.write(bytes),
		onDrain(resume) {
			response.once('drain', resume);
		},
		end() {
			response.end();
		},
		cut() {
			response.destroy();
		},
		refuse(error) {
			sendRefusal(response, error, isLeaving());
		},
	};
}
