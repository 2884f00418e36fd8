import type {EndpointView} from '@valvesaddle/policy';

/**
A pool as its dispatcher sees it.
*/
export type PoolStatus = {
	readonly pool: string;
	readonly waiting: number;
	readonly inFlight: number;
	readonly endpoints: readonly EndpointView[];
};
