import {ValvesaddleError} from '@valvesaddle/error';

/**
Statuses by which an endpoint says that it did not begin with the request.
*/
const notRunStatuses: ReadonlySet<number> = new Set([429, 503]);
const longestMessage = 500;

/**
 Tells what an HTTP status other than 2xx means for the request. An endpoint's 429 and 503 are its explicit word that
 it took no work.

 @example
 classifyStatus(503, 'draining').traits.ran; // 'no'
 */
export function classifyStatus(status: number, text: string): ValvesaddleError {
	const message = `the endpoint answered ${status}: ${text.slice(0, longestMessage)}`;
	return notRunStatuses.has(status) ? new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_NOT_RUN', message) : new ValvesaddleError(status >= 500 ? 'ERR_VALVESADDLE_ENDPOINT_FAILED' : 'ERR_VALVESADDLE_ENDPOINT_REJECTED', message);
}
