import type {EndpointLoad} from './endpoint-load.ts';

type DelayInput = {
	readonly load: EndpointLoad;
	readonly slots: number;
	readonly urgency: number;
	/**
	Prompt tokens that the engine has not cached.
	*/
	readonly uncachedTokens: number;
	readonly tokensPerMs: number;
};

/**
Delay by each open stream; small, so that it only breaks ties.
*/
const msPerOpenStream = 3;
/**
Wait for each request beyond an engine's slots: about the time until the next request ends at a full engine.
*/
const msPerQueued = 40;
/**
Less urgent tokens that are still prefilled first, since a prefill that has started is completed: their share, and their maximum.
*/
const startedShare = 0.5;
const maximumStartedTokens = 4000;

/**
 Predicts the delay until a prompt's first token, in milliseconds. Engines prefill prompts in the order of their ranks.

 @example
 measureDelay({load: noLoad, slots: 64, urgency: 0, uncachedTokens: 500, tokensPerMs: 50}); // 10
 */
export function measureDelay({load, slots, urgency, uncachedTokens, tokensPerMs}: DelayInput): number {
	let before = 0;
	let after = 0;
	for (const [rank, tokens] of load.pendingPrefill.entries()) {
		before += rank <= urgency ? tokens : 0;
		after += rank > urgency ? tokens : 0;
	}

	const started = Math.min(maximumStartedTokens, startedShare * after);
	const queueMs = Math.max(0, load.open + 1 - slots) * msPerQueued;
	return ((before + started + uncachedTokens) / tokensPerMs) + (load.open * msPerOpenStream) + queueMs;
}
