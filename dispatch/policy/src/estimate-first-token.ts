import type {EndpointRequirements} from './endpoint-requirements.ts';
import type {EndpointView} from './endpoint-view.ts';

const defaultFirstTokenMs = 200;
const defaultInterTokenMs = 30;
/**
Prefill of one prompt token that is not in the endpoint's prefix cache.
*/
const prefillMsPerToken = 0.25;
const crossDataCentreMs = 1;
/**
Decoding steps that a new request waits for on an endpoint at its limit.
*/
const queuedStepsAtLimit = 8;

/**
 Estimates the time to the first token on an endpoint, in milliseconds, from its average, its load, the prefill of an
 uncached prompt and the network latency.

 @example
 estimateFirstToken(endpoint, requirements); // 214.5
 */
export function estimateFirstToken(endpoint: EndpointView, requirements: EndpointRequirements): number {
	const load = (endpoint.inFlight + endpoint.external) / endpoint.limit;
	const baseMs = endpoint.firstTokenMs ?? defaultFirstTokenMs;
	const stepMs = endpoint.interTokenMs ?? defaultInterTokenMs;
	const prefillMs = requirements.sessionEndpoint === endpoint.id ? 0 : requirements.promptTokens * prefillMsPerToken;
	const networkMs = requirements.dataCentre === endpoint.dataCentre ? 0 : crossDataCentreMs;
	return (baseMs / 2) + (baseMs * load) + (stepMs * queuedStepsAtLimit * load) + prefillMs + networkMs;
}
