import {errorTable} from '@valvesaddle/error';
import type {ErrorBody} from './error-body.ts';
import type {ErrorEnd} from './error-end.ts';

/**
 Builds the body of an error reply.

 @example
 toErrorBody(end, 'a1_9').error.ran; // 'no'
 */
export function toErrorBody(end: ErrorEnd, requestId: string): ErrorBody {
	const {hint, retryable} = errorTable[end.code];
	return {
		error: {
			code: end.code, message: end.message, hint, ran: end.ran, retryable, retry_after_ms: end.retryAfterMs, request_id: requestId,
		},
	};
}
