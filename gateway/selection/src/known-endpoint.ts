import type {ServingEndpoint} from '@valvesaddle/gateway-types';

/**
An endpoint with the ID of its incarnation, which keys all state of its process.
*/
export type KnownEndpoint = ServingEndpoint & {
	readonly incarnation: string;
};
