import type {PromptPart} from '@valvesaddle/gateway-types';

/**
What the choice of an endpoint depends on.
*/
export type SelectionQuestion = {
	readonly pool: string;
	/**
	Latency objective of the route, in milliseconds.
	*/
	readonly objectiveMs: number;
	readonly promptTokens: number;
	readonly parts: readonly PromptPart[];
	/**
	Endpoints that this request has tried.
	*/
	readonly tried: ReadonlySet<string>;
};
