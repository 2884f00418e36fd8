import {ValvesaddleError} from '@valvesaddle/error';

/**
Failures that come before a connection stands, so before any byte of the request went out.
*/
const notSentCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

/**
 Tells what a failed HTTP call means for the request: surely not run, or maybe run.

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
