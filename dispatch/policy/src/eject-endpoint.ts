import type {EndpointView} from './endpoint-view.ts';

const firstEjectionMs = 5000;
const longestEjectionMs = 60_000;

/**
 Takes an endpoint out of use; each ejection in a row lasts twice as long.

 @example
 ejectEndpoint(endpoint, now).ejectedUntil; // now + 5000
 */
export function ejectEndpoint(endpoint: EndpointView, now: number): EndpointView {
	const lengthMs = Math.min(longestEjectionMs, firstEjectionMs * (2 ** endpoint.ejections));
	return {
		...endpoint, state: 'ejected', ejectedUntil: now + lengthMs, ejections: endpoint.ejections + 1,
	};
}
