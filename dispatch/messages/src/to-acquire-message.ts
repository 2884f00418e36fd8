import {acquireDefaults} from './acquire-defaults.ts';
import type {AcquireRequest} from './acquire-request.ts';

const defaults = new Map(Object.entries(acquireDefaults).map(([name, value]) => [name, JSON.stringify(value)]));

/**
 An acquire request as it is sent: without what has its default value, since one goes out for every request of a caller.

 @example
 toAcquireMessage(request); // {requestId: 'n1_9f', pool: 'drafting', …}
 */
export function toAcquireMessage(request: AcquireRequest): Partial<AcquireRequest> {
	return Object.fromEntries(Object.entries(request).filter(([name, value]) => defaults.get(name) !== JSON.stringify(value)));
}
