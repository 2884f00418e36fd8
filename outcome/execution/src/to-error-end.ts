import type {AnswerEnd} from '@valvesaddle/answers';
import type {ErrorCode, ValvesaddleError} from '@valvesaddle/error';
import type {Outcome} from '@valvesaddle/state';
import type {Job} from './job.ts';

const claimRetryAfterMs = 2000;

/**
 Returns the end of a request that failed. Whether it may have run is decided over all its attempts; the code of the last
 attempt is kept only where it does not contradict that.

 @example
 toErrorEnd(error, {state: 'refused', ran: 'no'}, job);
 */
export function toErrorEnd(error: ValvesaddleError, {ran}: Outcome, job: Job): AnswerEnd {
	return {
		kind: 'error',
		code: ran === 'no' ? error.code : toRanCode(error, job),
		message: error.message,
		ran,
		retryAfterMs: error.retryAfterMs ?? (error.code === 'ERR_VALVESADDLE_CLAIMS_UNAVAILABLE' ? claimRetryAfterMs : undefined),
	};
}

function toRanCode(error: ValvesaddleError, job: Job): ErrorCode {
	if (job.claim !== undefined) {
		return 'ERR_VALVESADDLE_MAY_HAVE_RUN';
	}

	return error.traits.ran === 'no' ? 'ERR_VALVESADDLE_ENDPOINT_FAILED' : error.code;
}
