import {ValvesaddleError} from '@valvesaddle/error';

/**
Errors raised before the connection is established, so before any byte of the request is sent.
*/
const notSentCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 Classifies a failed HTTP call: the request certainly did not run, may have run, or was cancelled.

 @example
 classifySendFailure(connectionRefused, signal).traits.ran; // 'no'
 */
export function classifySendFailure(thrown: unknown, signal: AbortSignal): ValvesaddleError {
	if (thrown instanceof ValvesaddleError) {
		return thrown;
	}

	const cause = thrown instanceof Error ? thrown : new Error(String(thrown));
	if (signal.aborted) {
		return new ValvesaddleError('ERR_VALVESADDLE_CANCELLED', 'the request was cancelled', {cause});
	}

	const code = 'code' in cause && typeof cause.code === 'string' ? cause.code : '';
	return notSentCodes.has(code)
		? new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_NOT_RUN', `the endpoint could not be reached: ${cause.message}`, {cause})
		: new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', `the endpoint failed: ${cause.message}`, {cause});
}
