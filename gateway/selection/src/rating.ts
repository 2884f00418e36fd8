import type {KnownEndpoint} from './known-endpoint.ts';

/**
An endpoint with what speaks for it.
*/
export type Rating = {
	readonly endpoint: KnownEndpoint;
	/**
	Predicted time to the first token or answer, in milliseconds.
	*/
	readonly costMs: number;
	/**
	Part of it that is spent on reading the request's own prompt.
	*/
	readonly readMs: number;
	/**
	Weight of the streams that are expected to be late by pauses there, the request's own included, in milliseconds of delay.
	*/
	readonly harmMs: number;
	/**
	Rank of the request there, 0 first.
	*/
	readonly urgency: number;
	/**
	Prompt tokens that the endpoint is believed to hold.
	*/
	readonly heldTokens: number;
	/**
	Endpoints that were compared.
	*/
	readonly candidates: number;
};
