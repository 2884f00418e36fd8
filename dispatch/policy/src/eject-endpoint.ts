import {predictEjectionMs} from '@valvesaddle/evidence';
import type {EndpointView} from './endpoint-view.ts';

const firstEjectionMs = 5000;
const maximumEjectionMs = 60_000;

/**
 Ejects an endpoint; each consecutive ejection lasts twice as long, up to a maximum.

 @example
 ejectEndpoint(endpoint, now).ejectedUntil; // now + 5000
 */
export function ejectEndpoint(endpoint: EndpointView, now: number): EndpointView {
	const ejectionMs = predictEjectionMs({ejections: endpoint.ejections, firstMs: firstEjectionMs, maximumMs: maximumEjectionMs});
	return {
		...endpoint, state: 'ejected', ejectedUntil: now + ejectionMs, ejections: endpoint.ejections + 1,
	};
}
