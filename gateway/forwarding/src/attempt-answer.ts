import type {IncomingHttpHeaders} from 'node:http';
import type {ChunkCollector} from '@valvesaddle/buffers';
import type {AnswerClass} from './answer-class.ts';

/**
An endpoint's answer as received so far.
*/
export type AttemptAnswer = {
	readonly status: number;
	readonly headers: IncomingHttpHeaders;
	readonly answerClass: AnswerClass;
	/**
	Whether the body is a stream of events.
	*/
	readonly isEventStream: boolean;
	/**
	Whether a length or chunks mark the end of the body, so that the end of its connection is not taken for it.
	*/
	readonly isFramed: boolean;
	readonly body: ChunkCollector;
};
