import type {AnswerFacts} from '@valvesaddle/gateway-types';
import type {KnownEndpoint, Selection} from '@valvesaddle/selection';
import type {AttemptFailure} from './attempt-failure.ts';

/**
What an endpoint says of itself in an answer.
*/
type Notice = Pick<AnswerFacts, 'retryAfterMs' | 'isLeaving'>;

/**
Lines and figures of one request.
*/
export type RequestRecorder = {
	/**
	The request goes to an endpoint, as its `attempt`-th try.
	*/
	readonly recordSent: (selection: Selection, attempt: number, remainingMs: number) => void;
	readonly recordNotice: (endpoint: KnownEndpoint, status: number, notice: Notice) => void;
	readonly recordFailure: (failure: AttemptFailure, attempt: number, isRetried: boolean) => void;
	/**
	No endpoint is left; `cooldownMs` until the first takes requests again.
	*/
	readonly recordNoEndpoint: (tries: number, cooldownMs: number) => void;
	readonly recordChunk: () => void;
	/**
	The one final outcome, with the status that the caller got.
	*/
	readonly recordEnd: (outcome: string, status: number, counts: {readonly tries: number; readonly runs: number}) => void;
};
