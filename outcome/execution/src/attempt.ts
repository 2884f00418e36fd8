import type {AnswerLog} from '@valvesaddle/answers';
import type {Grant} from '@valvesaddle/messages';
import type {HopSpan} from '@valvesaddle/tracing';
import type {Job} from './job.ts';
import type {Progress} from './progress.ts';

/**
One try of a request at one endpoint.
*/
export type Attempt = {
	readonly job: Job;
	readonly grant: Grant;
	readonly log: AnswerLog;
	/**
	What earlier attempts delivered; grows as this one does.
	*/
	readonly progress: Progress;
	readonly hop: HopSpan;
	readonly signal: AbortSignal;
	/**
	Called at the first sign of an answer.
	*/
	readonly onFirstAnswer: () => void;
	/**
	Whether the budgets hold a retry.
	*/
	readonly mayRetry: () => boolean;
};
