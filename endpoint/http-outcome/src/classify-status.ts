import {ValvesaddleError} from '@valvesaddle/error';
import {parseRetryAfter} from '@valvesaddle/retry-after';

/**
Statuses by which an endpoint says that it did not begin with the request.
*/
const notRunStatuses: ReadonlySet<number> = new Set([429, 503]);
const maximumTextLength = 500;

/**
 Tells what an HTTP status other than 2xx means for the request. An endpoint's 429 and 503 are its explicit word that
 it took no work, and their `Retry-After` is the time for which it wants none.

 @param status - Status of the answer.
 @param text - Its body, for the message.
 @param retryAfter - Its `Retry-After` header.
 @example
 classifyStatus(503, 'draining').traits.ran; // 'no'
 classifyStatus(503, 'busy', '2').retryAfterMs; // 2000
 */
export function classifyStatus(status: number, text: string, retryAfter?: string | readonly string[]): ValvesaddleError {
	const message = `the endpoint answered ${status}: ${text.slice(0, maximumTextLength)}`;
	return notRunStatuses.has(status) ? new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_NOT_RUN', message, {retryAfterMs: parseRetryAfter(retryAfter)}) : new ValvesaddleError(status >= 500 ? 'ERR_VALVESADDLE_ENDPOINT_FAILED' : 'ERR_VALVESADDLE_ENDPOINT_REJECTED', message);
}
