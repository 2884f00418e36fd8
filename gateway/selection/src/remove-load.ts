import {addLoads} from './add-loads.ts';
import type {EndpointLoad} from './endpoint-load.ts';

/**
 Subtracts a load from a sum; requests, streams, pending prompt tokens, sensitivity and memory do not fall below 0.

 @example
 removeLoad({...noLoad, open: 3}, {...noLoad, open: 2}).open; // 1
 */
export function removeLoad(sum: EndpointLoad, part: EndpointLoad): EndpointLoad {
	return addLoads(sum, {
		open: -part.open,
		pendingPrefill: part.pendingPrefill.map(tokens => -tokens),
		sensitivity: -part.sensitivity,
		observers: -part.observers,
		stalledObservers: -part.stalledObservers,
		prefilledTokens: -part.prefilledTokens,
		prefillMs: -part.prefillMs,
		protectedStreams: -part.protectedStreams,
		memoryTokens: -part.memoryTokens,
	});
}
