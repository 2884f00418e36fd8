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
	Longest pause between pieces that is still in time, in milliseconds; 0 when none is set.
	*/
	readonly pauseObjectiveMs: number;
	/**
	Rank of the request at an engine, 0 first.
	*/
	readonly urgency: number;
	readonly promptTokens: number;
	readonly parts: readonly PromptPart[];
	/**
	Incarnations of endpoints that this request has tried.
	*/
	readonly tried: ReadonlySet<string>;
};
