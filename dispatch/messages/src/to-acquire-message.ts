import {acquireDefaults} from './acquire-defaults.ts';
import type {AcquireRequest} from './acquire-request.ts';

const defaults = new Map(Object.entries(acquireDefaults).map(([name, value]) => [name, JSON.stringify(value)]));

/**
 Converts an acquire request to its wire message, which omits default values to keep it small.

 @example
 toAcquireMessage(request); // {requestId: 'n1_9f', duty: 'drafting', …}
 */
export function toAcquireMessage(request: AcquireRequest): Partial<AcquireRequest> {
	return Object.fromEntries(Object.entries(request).filter(([name, value]) => defaults.get(name) !== JSON.stringify(value)));
}
