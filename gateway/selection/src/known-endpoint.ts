import type {ServingEndpoint} from '@valvesaddle/gateway-types';

/**
An endpoint with the name of its incarnation, under which all is kept that belongs to its process.
*/
export type KnownEndpoint = ServingEndpoint & {
	readonly incarnation: string;
};
