import type {AttemptFailure} from './attempt-failure.ts';
import type {RetryDenial} from './retry-denial.ts';

type FailedSend = Pick<AttemptFailure, 'mayHaveRun'>;

/**
Decides whether a request may be sent to another endpoint.
*/
export type RetryAllowance = {
	readonly markSent: () => void;
	/**
	Records that the last endpoint did not run the request.
	*/
	readonly markNotRun: () => void;
	/**
	Number of endpoints that may have run the request.
	*/
	readonly countRuns: () => number;
	/**
	Whether the route allows another attempt, without regard to the budget.
	*/
	readonly isAllowed: (failure: FailedSend) => boolean;
	/**
	Whether `spend` finds a retry at the moment.
	*/
	readonly hasRetry: () => boolean;
	/**
	Spends a retry of the budget, unless one is left that was spent for an endpoint to which nothing was sent; returns why there is none.
	*/
	readonly spend: (failure: FailedSend) => RetryDenial | undefined;
};
