import type {Endpoint} from '@valvesaddle/types';
import type {EndpointView} from '@valvesaddle/policy';

/**
 Creates the initial view of an endpoint.

 @example
 createEndpointView(endpoint).limit; // the endpoint's initialLimit
 */
export function createEndpointView(endpoint: Endpoint): EndpointView {
	return {
		id: endpoint.id,
		url: endpoint.url,
		dataCentre: endpoint.dataCentre,
		state: 'live',
		limit: endpoint.initialLimit,
		inFlight: 0,
		urgentInFlight: 0,
		external: 0,
		firstTokenMs: undefined,
		interTokenMs: undefined,
		limitChangedAt: 0,
		ejectedUntil: 0,
		cooldownUntil: 0,
		ejections: 0,
		failures: 0,
		memory: endpoint.memoryTokens === undefined ? undefined : {capacityTokens: endpoint.memoryTokens, claims: new Map()},
	};
}
