import type {EndpointLoad} from './endpoint-load.ts';

/**
Load of an endpoint without work.
*/
export const noLoad: EndpointLoad = {
	open: 0, prefillTokens: 0, longTokens: 0, shortOpen: 0, readTokens: 0, readMs: 0,
};
