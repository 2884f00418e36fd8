import type {PromptPart} from '@valvesaddle/gateway-types';
import type {Placement} from './placement.ts';

/**
Estimates which prompt parts each endpoint has cached. A wrong estimate costs only time.
*/
export type PrefixCacheModel = {
	readonly add: (placement: Placement) => void;
	/**
	Tokens of the prompt's leading shared parts that the endpoint has cached.
	*/
	readonly countCached: (endpoint: string, parts: readonly PromptPart[]) => number;
	/**
	Tokens of the prompt's shared parts that were recently used at some endpoint, so that prefilling them again is waste.
	*/
	readonly countRecent: (parts: readonly PromptPart[]) => number;
	/**
	Sets the size of an endpoint's cache, in tokens.
	*/
	readonly setCapacity: (endpoint: string, tokens: number) => void;
	readonly removeEndpoint: (endpoint: string) => void;
};
