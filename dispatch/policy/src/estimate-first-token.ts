import type {EndpointRequirements} from './endpoint-requirements.ts';
import type {EndpointView} from './endpoint-view.ts';

const defaultFirstTokenMs = 200;
const defaultInterTokenMs = 30;
/**
Prefill of one prompt token that is not in the endpoint's prefix cache.
*/
const prefillMsPerToken = 0.25;
const otherDataCentreMs = 1;
/**
Batch steps that a new request waits for on a full endpoint.
*/
const stepsWhenFull = 8;

/**
 Estimates the time to the first token on an endpoint, in milliseconds: its own average, what its load adds, the
 prefill that its prefix cache does not save, and the distance.

 @example
 estimateFirstToken(endpoint, need); // 214.5
 */
export function estimateFirstToken(endpoint: EndpointView, need: EndpointRequirements): number {
	const load = (endpoint.inFlight + endpoint.external) / endpoint.limit;
	const base = endpoint.firstTokenMs ?? defaultFirstTokenMs;
	const step = endpoint.interTokenMs ?? defaultInterTokenMs;
	const prefill = need.sessionEndpoint === endpoint.id ? 0 : need.promptTokens * prefillMsPerToken;
	const distance = need.dataCentre === endpoint.dataCentre ? 0 : otherDataCentreMs;
	return (base / 2) + (base * load) + (step * stepsWhenFull * load) + prefill + distance;
}
