import {Buffer} from 'node:buffer';
import {createEventStreamFilter} from '@valvesaddle/exchange';
import type {WireFormat} from '@valvesaddle/gateway-types';
import type {AnswerWriter} from './answer-writer.ts';
import type {ForwardRequest} from './forward-request.ts';
import type {Reply} from './reply.ts';

type AnswerWriterOptions = {
	readonly request: Pick<ForwardRequest, 'route' | 'metadata'>;
	readonly reply: Reply;
	readonly wire: Pick<WireFormat, 'writeAnswer'>;
};

/**
 Creates the writer of a request's answer. Of a stream that may be resumed it passes on whole events only, each once.

 @example
 const writer = createAnswerWriter({request, reply, wire});
 writer.begin(answer);
 writer.write(chunk);
 */
export function createAnswerWriter({request: {route, metadata: facts}, reply, wire}: AnswerWriterOptions): AnswerWriter {
	const relay = route.kind === 'stream' && route.isResumable ? createEventStreamFilter(facts.lastEventId) : undefined;
	let isBegun = false;

	return {
		isBegun: () => isBegun,
		begin(answer) {
			if (isBegun) {
				return;
			}

			isBegun = true;
			reply.start(answer.status, wire.writeAnswer(answer.headers));
		},
		write(chunk) {
			const bytes = relay === undefined ? chunk : relay.push(chunk);
			return bytes.length === 0 || reply.write(bytes);
		},
		onDrain: reply.onDrain,
		lastEventId: () => isBegun ? relay?.lastEventId() ?? -1 : -1,
		hasRest: () => relay?.hasPartialEvent() === true,
		dropRest() {
			relay?.restart();
		},
		end(answer) {
			if (answer.verdict === 'stream') {
				reply.end();
			} else {
				reply.answer(answer.status, wire.writeAnswer(answer.headers), Buffer.concat(answer.pieces));
			}
		},
	};
}
