import type {AttemptAnswer} from './attempt-answer.ts';
import type {FailureCause} from './failure-cause.ts';

/**
Why an attempt produced no answer for the caller.
*/
export type AttemptFailure = {
	readonly cause: FailureCause;
	readonly reason: string;
	/**
	Whether the endpoint may have run the request.
	*/
	readonly mayHaveRun: boolean;
	/**
	Whether the endpoint refused the request before running it, and may take it later.
	*/
	readonly isFull?: boolean;
	/**
	The endpoint's error response, sent to the caller when the request is not retried.
	*/
	readonly answer?: AttemptAnswer | undefined;
};
