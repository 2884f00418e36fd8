import {ValvesaddleError} from '@valvesaddle/error';
import {parseRetryAfter} from '@valvesaddle/retry-after';

/**
Statuses with which an endpoint refuses a request before it starts to run it.
*/
const notRunStatuses: ReadonlySet<number> = new Set([429, 503]);
const maximumTextLength = 500;

/**
 Classifies an HTTP status other than 2xx. A 429 or 503 means that the endpoint did not run the request; its
 `Retry-After` header is passed on in the error.

 @param status - Status of the response.
 @param text - Body of the response, for the error message.
 @param retryAfter - Its `Retry-After` header.
 @example
 classifyStatus(503, 'draining').traits.ran; // 'no'
 classifyStatus(503, 'busy', '2').retryAfterMs; // 2000
 */
export function classifyStatus(status: number, text: string, retryAfter?: string | readonly string[]): ValvesaddleError {
	const message = `the endpoint answered ${status}: ${text.slice(0, maximumTextLength)}`;
	return notRunStatuses.has(status) ? new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_NOT_RUN', message, {retryAfterMs: parseRetryAfter(retryAfter)}) : new ValvesaddleError(status >= 500 ? 'ERR_VALVESADDLE_ENDPOINT_FAILED' : 'ERR_VALVESADDLE_ENDPOINT_REJECTED', message);
}
