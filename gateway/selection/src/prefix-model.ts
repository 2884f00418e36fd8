import type {PromptPart} from '@valvesaddle/gateway-types';
import type {Placement} from './placement.ts';

/**
Which parts of prompts each endpoint is believed to hold. A hint only: nothing depends on it but time.
*/
export type PrefixModel = {
	readonly add: (placement: Placement) => void;
	/**
	Tokens of the prompt's leading shared parts that the endpoint holds.
	*/
	readonly countHeld: (endpoint: string, parts: readonly PromptPart[]) => number;
	/**
	Tokens of the prompt's shared parts that some endpoint has read of late, so that reading them again is waste.
	*/
	readonly countRecent: (parts: readonly PromptPart[]) => number;
	readonly setCapacity: (endpoint: string, tokens: number) => void;
	readonly removeEndpoint: (endpoint: string) => void;
};
