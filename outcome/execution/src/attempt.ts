import type {AnswerLog} from '@valvesaddle/answers';
import type {Grant} from '@valvesaddle/messages';
import type {HopSpan} from '@valvesaddle/tracing';
import type {Job} from './job.ts';
import type {Progress} from './progress.ts';

/**
One attempt of a request at one endpoint.
*/
export type Attempt = {
	readonly job: Job;
	readonly grant: Grant;
	readonly log: AnswerLog;
	/**
	Progress over all attempts; this one adds to it.
	*/
	readonly progress: Progress;
	readonly hop: HopSpan;
	readonly signal: AbortSignal;
	/**
	Called when the answer starts.
	*/
	readonly onFirstAnswer: () => void;
	/**
	Reserves another attempt, for which this one is aborted; false if the request cannot have one.

	@param hasToken - Whether this attempt has produced a token.
	*/
	readonly reserveRetry: (hasToken: boolean) => boolean;
};
