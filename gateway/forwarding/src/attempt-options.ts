import type {Selection, SelectionCriteria} from '@valvesaddle/selection';
import type {AnswerWriter} from './answer-writer.ts';
import type {CrashRecord} from './crash-record.ts';
import type {ForwardRequest} from './forward-request.ts';
import type {ForwarderOptions} from './forwarder-options.ts';
import type {RequestRecorder} from './request-recorder.ts';

/**
Options of `createAttempt`.
*/
export type AttemptOptions = {
	readonly tools: Pick<ForwarderOptions, 'selector' | 'exchanges' | 'wire' | 'crashDetector'>;
	readonly request: ForwardRequest;
	readonly question: SelectionCriteria;
	/**
	The chosen endpoint.
	*/
	readonly selection: Selection;
	readonly writer: AnswerWriter;
	readonly recorder: RequestRecorder;
	readonly crashes: CrashRecord;
	/**
	Time until the request's deadline, in milliseconds.
	*/
	readonly remainingMs: number;
};
