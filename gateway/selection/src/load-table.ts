import type {EndpointLoad} from './endpoint-load.ts';

/**
Work at each endpoint, the node's own and what its peers have told.
*/
export type LoadTable = {
	readonly get: (endpoint: string) => EndpointLoad;
	/**
	Adds to the node's own work.
	*/
	readonly add: (endpoint: string, change: EndpointLoad) => void;
	/**
	Notes that an endpoint read so many prompt tokens in so many milliseconds.
	*/
	readonly recordReading: (endpoint: string, tokens: number, milliseconds: number) => void;
	/**
	Sets whether this node ought to have heard of an endpoint, and whether it has not.
	*/
	readonly setSilence: (endpoint: string, witnesses: number, silent: number) => void;
	/**
	Endpoints from which no node has heard that ought to have.
	*/
	readonly listSilent: () => readonly string[];
	readonly applyPeer: (node: string, endpoint: string, load: EndpointLoad) => void;
	readonly setUnseenFactor: (factor: number) => void;
	readonly removePeer: (node: string) => void;
	readonly removeEndpoint: (endpoint: string) => void;
	/**
	The node's own work at endpoints where it has changed since the last call.
	*/
	readonly takeChanged: () => ReadonlyArray<readonly [endpoint: string, load: EndpointLoad]>;
	/**
	The node's own work at all endpoints.
	*/
	readonly listOwn: () => ReadonlyArray<readonly [endpoint: string, load: EndpointLoad]>;
};
