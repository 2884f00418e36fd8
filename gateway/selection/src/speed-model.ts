import type {EndpointLoad} from './endpoint-load.ts';

/**
Relative prefill speeds of the endpoints of a pool.
*/
export type SpeedModel = {
	/**
	Replaces the speeds by those of the given endpoints.
	*/
	readonly update: (loads: ReadonlyMap<string, Pick<EndpointLoad, 'prefilledTokens' | 'prefillMs'>>) => void;
	/**
	Speed of an endpoint relative to the pool's median; 1 while too little is known.
	*/
	readonly getFactor: (endpoint: string) => number;
};
