import type {EndpointView} from '@valvesaddle/policy';

/**
Status of a pool at its dispatcher.
*/
export type PoolStatus = {
	readonly pool: string;
	readonly waiting: number;
	readonly inFlight: number;
	readonly endpoints: readonly EndpointView[];
};
