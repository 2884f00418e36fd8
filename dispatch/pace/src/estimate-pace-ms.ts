import type {EndpointEvidence} from '@valvesaddle/evidence';

type PaceCounts = Pick<EndpointEvidence, 'timedAnswers' | 'serviceMs'>;

/**
Answers that the pool's mean counts for: a few answers of the endpoint outweigh it.
*/
const priorAnswers = 1;
/**
Pace of a pool without recent answers; all its endpoints are alike then.
*/
const unknownPaceMs = 1;

/**
 Estimates the pace of an endpoint, in milliseconds a request. Without answers of its own it has the pool's mean.

 @param endpoint - Recent answers of the endpoint.
 @param pool - Recent answers of all endpoints of its pool.
 @example
 estimatePaceMs({timedAnswers: 4, serviceMs: 300}, {timedAnswers: 40, serviceMs: 1200}); // 66
 */
export function estimatePaceMs(endpoint: PaceCounts, pool: PaceCounts): number {
	const meanMs = pool.timedAnswers > 0 ? pool.serviceMs / pool.timedAnswers : unknownPaceMs;
	return (endpoint.serviceMs + (priorAnswers * meanMs)) / (endpoint.timedAnswers + priorAnswers);
}
