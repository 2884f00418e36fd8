import type {Selection, SelectionCriteria} from '@valvesaddle/selection';
import type {AnswerWriter} from './answer-writer.ts';
import type {ForwardRequest} from './forward-request.ts';
import type {ForwarderOptions} from './forwarder-options.ts';
import type {RequestRecord} from './request-record.ts';

/**
Options of `createAttempt`.
*/
export type AttemptOptions = {
	readonly tools: Pick<ForwarderOptions, 'selector' | 'exchanges' | 'wire'>;
	readonly request: ForwardRequest;
	readonly question: SelectionCriteria;
	/**
	The endpoint that was chosen.
	*/
	readonly selection: Selection;
	readonly writer: AnswerWriter;
	readonly record: RequestRecord;
	/**
	Time that is left for the request, in milliseconds.
	*/
	readonly remainingMs: number;
};
