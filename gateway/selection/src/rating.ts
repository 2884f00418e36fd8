import type {KnownEndpoint} from './known-endpoint.ts';

/**
An endpoint with the predictions that it was compared by.
*/
export type Rating = {
	readonly endpoint: KnownEndpoint;
	/**
	Predicted time to the first token or answer, in milliseconds.
	*/
	readonly costMs: number;
	/**
	Part of it that is the prefill of the request's own prompt.
	*/
	readonly readMs: number;
	/**
	Cost of the prefill interference, in milliseconds of delay: the weighted number of streams that are expected to miss their
	pause objective there, including the request's own, in latency objectives.
	*/
	readonly harmMs: number;
	/**
	Rank of the request there, 0 first.
	*/
	readonly urgency: number;
	/**
	Prompt tokens that the endpoint is estimated to have cached.
	*/
	readonly heldTokens: number;
	/**
	Predicted most tokens of the endpoint's memory in use until the request ends; 0 if that is not predicted.
	*/
	readonly memoryTokens: number;
	/**
	Predicted time until its memory has room for the request, in milliseconds; 0 if it has room now or that is not predicted.
	*/
	readonly roomInMs: number;
	/**
	Number of endpoints that were compared.
	*/
	readonly candidates: number;
};
