import type {AttemptAnswer} from './attempt-answer.ts';

/**
Why an attempt brought no answer for the caller.
*/
export type AttemptFailure = {
	readonly reason: string;
	/**
	Whether the endpoint may have begun to run the request.
	*/
	readonly mayHaveRun: boolean;
	/**
	An endpoint's own failure, passed on when no other try is left.
	*/
	readonly answer?: AttemptAnswer | undefined;
};
