import type {AnswerMetadata} from '@valvesaddle/gateway-types';
import type {RetryUsage} from '@valvesaddle/retry-budget';
import type {KnownEndpoint, Selection} from '@valvesaddle/selection';
import type {AttemptAnswer} from './attempt-answer.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {RetryDenial} from './retry-denial.ts';

/**
Cooldown or draining signal in the headers of an endpoint's answer.
*/
type Notice = Pick<AnswerMetadata, 'retryAfterMs' | 'isLeaving'>;

/**
Writes the log lines and metrics of one request.
*/
export type RequestRecorder = {
	/**
	Records that the request is sent to an endpoint; attempts are numbered from 1.
	*/
	readonly recordSent: (selection: Selection, attempt: number, remainingMs: number) => void;
	readonly recordNotice: (endpoint: KnownEndpoint, status: number, notice: Notice) => void;
	/**
	Records that the requests per second that an endpoint accepts have changed, or cannot be read; `undefined` without a limit.
	*/
	readonly recordLimit: (endpoint: KnownEndpoint, limit: number | 'invalid' | undefined) => void;
	/**
	Records that the rest of an answer that is none was not read.
	*/
	readonly recordRestCut: (endpoint: KnownEndpoint, answer: Pick<AttemptAnswer, 'status' | 'body'>, reason: string) => void;
	/**
	Records that an answer is read more slowly, since its chunks cost more than they carry.
	*/
	readonly recordSlowed: (endpoint: KnownEndpoint) => void;
	/**
	Records a failed attempt at an endpoint, why it is not followed by another, and the state of the retry budget.
	*/
	readonly recordFailure: (failure: AttemptFailure, failed: {readonly endpoint: string; readonly attempt: number}, denial: RetryDenial | undefined, usage: RetryUsage) => void;
	/**
	Records that an attempt presumed lost goes on, since the request cannot be sent to another endpoint.
	*/
	readonly recordKept: (failure: AttemptFailure, attempt: number, denial: RetryDenial, usage: RetryUsage) => void;
	/**
	Records that a request stays with its former endpoint: the one that it was sent to failed, or the former one answers after all.
	*/
	readonly recordReverted: (attempt: number, failure: AttemptFailure | undefined) => void;
	/**
	Records that no endpoint is available; `cooldownMs` is the time until the first cooldown expires.
	*/
	readonly recordNoEndpoint: (attempts: number, cooldownMs: number) => void;
	readonly recordChunk: () => void;
	/**
	Records the final outcome, with the status sent to the caller; 0 if none was sent.
	*/
	readonly recordEnd: (outcome: string, status: number, counts: {readonly attempts: number; readonly runs: number}) => void;
};
