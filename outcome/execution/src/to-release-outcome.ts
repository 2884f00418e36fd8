import type {ValvesaddleError} from '@valvesaddle/error';
import type {ReleaseOutcome} from '@valvesaddle/messages';

/**
 Returns the outcome of an attempt that is reported with the release of its grant.

 @example
 toReleaseOutcome(undefined); // 'complete'
 */
export function toReleaseOutcome(error: ValvesaddleError | undefined): ReleaseOutcome {
	if (error === undefined || error.code === 'ERR_VALVESADDLE_ENDPOINT_REJECTED') {
		return 'complete';
	}

	if (error.code === 'ERR_VALVESADDLE_CANCELLED') {
		return 'cancelled';
	}

	return error.traits.ran === 'no' ? 'not-run' : 'failed';
}
