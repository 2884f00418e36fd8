import type {EndpointLoad} from './endpoint-load.ts';

/**
Which endpoints of a pool read prompts more slowly than the others.
*/
export type PaceModel = {
	/**
	Takes in the endpoints' last readings; those that are missing are forgotten.
	*/
	readonly update: (loads: ReadonlyMap<string, Pick<EndpointLoad, 'prefilledTokens' | 'prefillMs'>>) => void;
	/**
	Pace of an endpoint against the pool's median; 1 when too little is known.
	*/
	readonly getFactor: (endpoint: string) => number;
};
