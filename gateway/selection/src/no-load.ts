import type {EndpointLoad} from './endpoint-load.ts';

/**
Load of an endpoint without requests.
*/
export const noLoad: EndpointLoad = {
	open: 0, pendingPrefill: [], sensitivity: 0, observers: 0, stalledObservers: 0, prefilledTokens: 0, prefillMs: 0, protectedStreams: 0, memoryTokens: 0,
};
