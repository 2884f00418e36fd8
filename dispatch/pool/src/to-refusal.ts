import type {ErrorCode} from '@valvesaddle/error';
import type {AcquireReply} from '@valvesaddle/messages';

const shortestRetryAfterMs = 1000;
const longestRetryAfterMs = 60_000;

/**
 A final refusal with when to come back, between one second and one minute.

 @example
 toRefusal('ERR_VALVESADDLE_OVERLOADED', 'the predicted wait is 9000 ms', 4000);
 */
export function toRefusal(code: ErrorCode, message: string, retryAfterMs: number): AcquireReply {
	const bounded = Math.min(longestRetryAfterMs, Math.max(shortestRetryAfterMs, retryAfterMs));
	return {
		kind: 'refused', code, message, retryAfterMs: Math.round(bounded),
	};
}
