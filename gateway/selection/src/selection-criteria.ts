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
	/**
	Class whose answers are alike in length, such as the name of the route; `undefined` if it is not known.
	*/
	readonly className?: string;
	/**
	Most tokens that it may generate; `undefined` or 0 if it states none.
	*/
	readonly maximumOutputTokens?: number;
	/**
	Whether it belongs to the most urgent class, for which engines preempt all others.
	*/
	readonly isMostUrgent?: boolean;
	readonly parts: readonly PromptPart[];
	/**
	Bytes of the request's body; 0 if not set.
	*/
	readonly bodyBytes?: number;
	/**
	Incarnations of endpoints at which this request was attempted.
	*/
	readonly tried: ReadonlySet<string>;
	/**
	Whether an ejected endpoint is not chosen even if there is no other, as for a request that may still be answered where it is.
	*/
	readonly isHealthyOnly?: boolean;
	/**
	Whether the request may be sent to another endpoint if it fails; such requests probe ejected endpoints. `true` by default.
	*/
	readonly isRepeatable?: boolean;
	/**
	Key of a request that may crash endpoints: all nodes choose the same endpoint by it, so that copies crash one at a time.
	*/
	readonly isolationKey?: string | undefined;
	/**
	Only endpoints that have room within this time, in milliseconds, and that have not just refused a request; all if omitted.
	*/
	readonly roomWithinMs?: number;
	/**
	Only endpoints whose free places this node may use now; all if omitted.
	*/
	readonly hasTurn?: (incarnation: string) => boolean;
};
