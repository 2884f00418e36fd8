import type {ExecutionStatus} from './execution-status.ts';

/**
Fixed properties of an error code.
*/
export type ErrorTraits = {
	/**
	HTTP status for callers.
	*/
	readonly status: number;
	/**
	What the code says about execution; `undefined` where it does not concern a request.
	*/
	readonly ran: ExecutionStatus | undefined;
	/**
	Whether the same request may be sent again as it is.
	*/
	readonly retryable: boolean;
	/**
	What to do about it, in one sentence.
	*/
	readonly hint: string;
};
