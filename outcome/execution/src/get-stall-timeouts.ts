import type {Job} from './job.ts';
import type {StallTimeouts} from './stall-timeouts.ts';

const minimumTimeoutMs = 500;
/**
Timeout before the first token, as a multiple of its target: the target is missed by then, and another endpoint is
likely to be faster.
*/
const urgentTargetFactor = 2;
const defaultTargetFactor = 4;
/**
Timeout between tokens of an urgent answer, as a multiple of the target. Other answers have none, since engines preempt
them for urgent ones.
*/
const urgentTokenFactor = 40;

/**
 Returns the stall timeouts for the attempts of a request. Only a request that may run more than once has any.

 @example
 getStallTimeouts(job); // {beforeFirstTokenMs: 1660, betweenTokensMs: 2080}
 */
export function getStallTimeouts({claim, pool, requestClass}: Job): StallTimeouts {
	if (claim !== undefined) {
		return {beforeFirstTokenMs: Infinity, betweenTokensMs: Infinity};
	}

	const targetFactor = requestClass.urgent ? urgentTargetFactor : defaultTargetFactor;
	return {
		beforeFirstTokenMs: Math.max(minimumTimeoutMs, requestClass.firstTokenTargetMs * targetFactor),
		betweenTokensMs: requestClass.urgent ? Math.max(minimumTimeoutMs, pool.interTokenTargetMs * urgentTokenFactor) : Infinity,
	};
}
