import type {ErrorCode, ExecutionStatus} from '@valvesaddle/error';

/**
Body of every error reply and error event.
*/
export type ErrorBody = {
	readonly error: {
		readonly code: ErrorCode;
		readonly message: string;
		readonly hint: string;
		/**
		Whether the request ran.
		*/
		readonly ran: ExecutionStatus;
		readonly retryable: boolean;
		readonly retry_after_ms: number | undefined;
		readonly request_id: string;
	};
};
