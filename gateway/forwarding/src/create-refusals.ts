import {ValvesaddleError} from '@valvesaddle/error';
import type {Selector} from '@valvesaddle/selection';
import type {Refusals} from './refusals.ts';

/**
Retry-After in milliseconds when no cooldown or predicted wait is known.
*/
const defaultRetryAfterMs = 300;
/**
Time over which retries after a cooldown are spread, in milliseconds.
*/
const retryAfterSpreadMs = 200;

/**
Retry-After of a request that crashes endpoints, in milliseconds. Only a new version of the endpoints can make it work.
*/
const quarantinedRetryAfterMs = 60_000;

/**
 Creates the builder of one request's final errors.

 @param selector - Source of the endpoints' cooldowns.
 @param pool - Service pool of the request.
 @example
 createRefusals(selector, 'drafting').buildNoEndpoint(2).retryAfterMs; // 300
 */
export function createRefusals(selector: Pick<Selector, 'getCooldownMs'>, pool: string): Refusals {
	/**
	Draws the caller's Retry-After in milliseconds. While all endpoints are in a cooldown, it is spread over a short time after the
	first one expires, so that the retries do not cause the next cooldown.
	*/
	function drawRetryAfterMs(): number {
		const cooldownMs = selector.getCooldownMs(pool);
		return cooldownMs === 0 ? defaultRetryAfterMs : Math.max(defaultRetryAfterMs, cooldownMs + (Math.random() * retryAfterSpreadMs));
	}

	return {
		buildNoEndpoint: attempts => new ValvesaddleError(
			attempts === 0 ? 'ERR_VALVESADDLE_NO_ENDPOINT' : 'ERR_VALVESADDLE_ENDPOINTS_BUSY',
			`${attempts} of ${pool} tried`,
			{retryAfterMs: drawRetryAfterMs()},
		),
		buildQuarantined: () => new ValvesaddleError('ERR_VALVESADDLE_REQUEST_QUARANTINED', 'endpoints crashed while they ran it', {retryAfterMs: quarantinedRetryAfterMs}),
		buildOverloaded: (predictedMs, retryAfterMs) => new ValvesaddleError('ERR_VALVESADDLE_OVERLOADED', `first token predicted after ${Math.round(predictedMs)} ms`, {retryAfterMs}),
		buildTimeout: (waitMs, wasSent) => wasSent
			? new ValvesaddleError('ERR_VALVESADDLE_TIMEOUT', `no answer after ${waitMs} ms`)
			: new ValvesaddleError('ERR_VALVESADDLE_TIMEOUT_UNSENT', `not sent within ${waitMs} ms`, {retryAfterMs: defaultRetryAfterMs}),
		buildStopped: wasSent => wasSent
			? new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', 'the node stops and cannot wait for the endpoint')
			: new ValvesaddleError('ERR_VALVESADDLE_DRAINING', 'the node stops', {retryAfterMs: 0}),
		buildFailure: (reason, wasSent) => wasSent
			? new ValvesaddleError('ERR_VALVESADDLE_ENDPOINT_FAILED', reason)
			: new ValvesaddleError('ERR_VALVESADDLE_ENDPOINTS_BUSY', reason, {retryAfterMs: drawRetryAfterMs()}),
	};
}
