import {toValvesaddleError} from '@valvesaddle/error';
import type {ErrorEnd} from './error-end.ts';

/**
 Builds the end of a request that was refused before its execution began. Errors that do not tell whether a request ran are
 about the answer of an earlier one, which may have run.

 @example
 toErrorEnd(new ValvesaddleError('ERR_VALVESADDLE_UNKNOWN_MODEL', 'no pool serves "x"')).ran; // 'no'
 */
export function toErrorEnd(thrown: unknown): ErrorEnd {
	const {code, message, traits, retryAfterMs} = toValvesaddleError(thrown);
	return {
		kind: 'error', code, message, ran: traits.ran ?? 'maybe', retryAfterMs,
	};
}
