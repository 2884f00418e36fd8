import type {EndpointLoad} from './endpoint-load.ts';

/**
Load of an endpoint without work.
*/
export const noLoad: EndpointLoad = {
	open: 0, unread: [], sensitivity: 0, witnesses: 0, silent: 0, readTokens: 0, readMs: 0,
};
