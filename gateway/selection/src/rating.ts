import type {ServingEndpoint} from '@valvesaddle/gateway-types';

/**
An endpoint with what speaks for it.
*/
export type Rating = {
	readonly endpoint: ServingEndpoint;
	/**
	Predicted time to the first token or answer, in milliseconds.
	*/
	readonly costMs: number;
	/**
	Prompt tokens that the endpoint is believed to hold.
	*/
	readonly heldTokens: number;
	/**
	Endpoints that were compared.
	*/
	readonly candidates: number;
};
