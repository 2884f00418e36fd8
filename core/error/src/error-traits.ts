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
	Whether the request ran; `undefined` if the code implies nothing about it.
	*/
	readonly ran: ExecutionStatus | undefined;
	/**
	Whether the same request may be sent again unchanged.
	*/
	readonly retryable: boolean;
	/**
	What to do about it, in one sentence.
	*/
	readonly hint: string;
};
