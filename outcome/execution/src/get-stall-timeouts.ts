import type {Job} from './job.ts';
import type {StallTimeouts} from './stall-timeouts.ts';

const shortestMs = 500;
/**
First-token targets that an attempt may take: by then the target is missed, and another endpoint is the better bet.
*/
const urgentTargets = 2;
const sharedTargets = 4;
/**
Steps that an urgent answer may pause; engines pause lower work for urgent work, so that one has no such limit.
*/
const urgentSteps = 40;

/**
 Limits of silence for the attempts of a request. Only a request that may run more than once has any.

 @example
 getSilenceLimits(job); // {beforeFirstTokenMs: 1660, betweenTokensMs: 2080}
 */
export function getStallTimeouts({claim, pool, requestClass}: Job): StallTimeouts {
	if (claim !== undefined) {
		return {beforeFirstTokenMs: Infinity, betweenTokensMs: Infinity};
	}

	const targets = requestClass.urgent ? urgentTargets : sharedTargets;
	return {
		beforeFirstTokenMs: Math.max(shortestMs, requestClass.firstTokenTargetMs * targets),
		betweenTokensMs: requestClass.urgent ? Math.max(shortestMs, pool.interTokenTargetMs * urgentSteps) : Infinity,
	};
}
