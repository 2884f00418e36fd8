import type {PromptPart} from '@valvesaddle/gateway-types';

/**
What the choice of an endpoint depends on.
*/
export type SelectionCriteria = {
	readonly pool: string;
	/**
	Latency objective of the route, in milliseconds.
	*/
	readonly objectiveMs: number;
	/**
	Longest allowed pause between chunks, in milliseconds; 0 if none is set.
	*/
	readonly pauseObjectiveMs: number;
	/**
	Rank of the request at an engine, 0 first.
	*/
	readonly urgency: number;
	readonly promptTokens: number;
	readonly parts: readonly PromptPart[];
	/**
	Incarnations of endpoints at which this request was attempted.
	*/
	readonly tried: ReadonlySet<string>;
};
