import type {EndpointLoad} from './endpoint-load.ts';
import {measureSlotWait} from './measure-slot-wait.ts';

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
	return ((before + started + uncachedTokens) / tokensPerMs) + (load.open * msPerOpenStream) + measureSlotWait(load.open, slots);
}
