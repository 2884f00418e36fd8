import type {ErrorCode} from '@valvesaddle/error';
import type {AcquireReply} from '@valvesaddle/messages';

const minimumRetryAfterMs = 1000;
const maximumRetryAfterMs = 60_000;

/**
 Creates a refusal; its Retry-After is bounded to between one second and one minute.

 @example
 toRefusal('ERR_VALVESADDLE_OVERLOADED', 'the predicted wait is 9000 ms', 4000);
 */
export function toRefusal(code: ErrorCode, message: string, retryAfterMs: number): AcquireReply {
	const bounded = Math.min(maximumRetryAfterMs, Math.max(minimumRetryAfterMs, retryAfterMs));
	return {
		kind: 'refused', code, message, retryAfterMs: Math.round(bounded),
	};
}
