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
	readonly body: ChunkCollector;
};
