import {ValvesaddleError} from '@valvesaddle/error';
import type {Selector} from '@valvesaddle/selection';
import type {Refusals} from './refusals.ts';

/**
When a caller may come back, in milliseconds, as long as no measured wait says better.
*/
const defaultRetryAfterMs = 300;
/**
Time over which callers that wait for the end of a cooldown are spread, in milliseconds.
*/
const retryAfterSpreadMs = 200;

/**
 Creates the refusals of one request.

 @param selector - Knows which endpoints have asked for a pause.
 @param pool - Pool that the request is for.
 @example
 createRefusals(selector, 'drafting').buildNoEndpoint(2).retryAfterMs; // 300
 */
export function createRefusals(selector: Pick<Selector, 'getCooldownMs'>, pool: string): Refusals {
	/**
	Draws when the caller may come back. While all endpoints are in a cooldown that is after the first of them ends, and callers are
	spread so that they do not bring on the next one.
	*/
	function drawRetryAfterMs(): number {
		const cooldownMs = selector.getCooldownMs(pool);
		return cooldownMs === 0 ? defaultRetryAfterMs : Math.max(defaultRetryAfterMs, cooldownMs + (Math.random() * retryAfterSpreadMs));
	}

	return {
		buildNoEndpoint: tries => new ValvesaddleError(tries === 0 ? 'ERR_VALVESADDLE_NO_ENDPOINT' : 'ERR_VALVESADDLE_ENDPOINTS_BUSY', `${tries} of ${pool} tried`, {retryAfterMs: drawRetryAfterMs()}),
		buildOverloaded: (predictedMs, retryAfterMs) => new ValvesaddleError('ERR_VALVESADDLE_OVERLOADED', `first token predicted after ${Math.round(predictedMs)} ms`, {retryAfterMs}),
		buildTimeout: (waitMs, wasSent) => wasSent
			? new ValvesaddleError('ERR_VALVESADDLE_TIMEOUT', `no answer after ${waitMs} ms`)
			: new ValvesaddleError('ERR_VALVESADDLE_TIMEOUT_UNSENT', `not sent within ${waitMs} ms`, {retryAfterMs: defaultRetryAfterMs}),
		buildFailure: (reason, wasSent) => wasSent
			? new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', reason)
			: new ValvesaddleError('ERR_VALVESADDLE_ENDPOINTS_BUSY', reason, {retryAfterMs: drawRetryAfterMs()}),
	};
}
