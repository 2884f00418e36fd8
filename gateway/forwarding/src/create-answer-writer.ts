import {createEventStreamFilter, createEventTail, type EventTail} from '@valvesaddle/exchange';
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
 Creates the writer of a request's answer. Of a resumable stream it forwards complete events only, each once.

 @example
 const writer = createAnswerWriter({request, reply, wire});
 writer.start(answer);
 writer.write(chunk);
 */
export function createAnswerWriter({request: {route, metadata}, reply, wire}: AnswerWriterOptions): AnswerWriter {
	const filter = route.kind === 'stream' && route.isResumable ? createEventStreamFilter(metadata.lastEventId) : undefined;
	let tail: EventTail | undefined;
	let isStarted = false;

	return {
		isStarted: () => isStarted,
		canResume: () => !isStarted || filter !== undefined,
		start(answer) {
			if (isStarted) {
				return;
			}

			isStarted = true;
			tail = filter === undefined && answer.isEventStream && !answer.isFramed ? createEventTail() : undefined;
			reply.start(answer.status, wire.writeAnswer(answer.headers));
		},
		write(chunk) {
			tail?.push(chunk);
			const bytes = filter === undefined ? chunk : filter.push(chunk);
			return bytes.length === 0 || reply.write(bytes);
		},
		onDrain: reply.onDrain,
		lastEventId: () => isStarted ? filter?.lastEventId() ?? -1 : -1,
		hasPartialEvent: () => filter?.hasPartialEvent() ?? tail?.isWithinEvent() ?? false,
		countPartialBytes: () => filter?.countPartialBytes() ?? 0,
		discardPartialEvent() {
			filter?.discardPartialEvent();
		},
		end(answer) {
			if (answer.answerClass === 'stream') {
				reply.end();
			} else {
				reply.answer(answer.status, wire.writeAnswer(answer.headers), answer.body.take());
			}
		},
	};
}
