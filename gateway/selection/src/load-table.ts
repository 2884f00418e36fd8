import type {EndpointEvidence} from '@valvesaddle/evidence';
import type {EndpointLoad} from './endpoint-load.ts';

/**
Load of each endpoint: the node's own and what its peers have reported.
*/
export type LoadTable = {
	/**
	Sum over all nodes.
	*/
	readonly get: (endpoint: string) => EndpointLoad;
	/**
	Adds to the node's own load.
	*/
	readonly add: (endpoint: string, change: EndpointLoad) => void;
	/**
	Records that an endpoint prefilled this many prompt tokens in this many milliseconds.
	*/
	readonly recordPrefill: (endpoint: string, tokens: number, milliseconds: number) => void;
	/**
	Adds to what this node's requests have shown of an endpoint. It ages with each look at what has changed.
	*/
	readonly recordEvidence: (endpoint: string, change: EndpointEvidence) => void;
	/**
	Sets whether this node expects chunks from an endpoint, and whether it finds the endpoint stalled; each 0 or 1.
	*/
	readonly setStallCounts: (endpoint: string, observers: number, stalledObservers: number) => void;
	/**
	Endpoints that all nodes that expect chunks find stalled, by a recent report or this node's own finding.
	*/
	readonly listStalled: () => readonly string[];
	readonly applyPeer: (node: string, endpoint: string, load: EndpointLoad) => void;
	/**
	Sets the factor that extrapolates the known load to the whole fleet while peers are unreachable.
	*/
	readonly setUnseenFactor: (factor: number) => void;
	readonly removePeer: (node: string) => void;
	readonly removeEndpoint: (endpoint: string) => void;
	/**
	Takes the node's own load of endpoints where it has changed since the last call.
	*/
	readonly takeChanged: () => ReadonlyArray<readonly [endpoint: string, load: EndpointLoad]>;
	/**
	The node's own load of all endpoints.
	*/
	readonly listOwn: () => ReadonlyArray<readonly [endpoint: string, load: EndpointLoad]>;
};
