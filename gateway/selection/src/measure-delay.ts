import type {EndpointLoad} from './endpoint-load.ts';

type DelayQuestion = {
	readonly load: EndpointLoad;
	readonly slots: number;
	readonly urgency: number;
	/**
	Tokens of the prompt that the engine does not hold.
	*/
	readonly unread: number;
	readonly tokensPerMs: number;
};

/**
Delay that one more open stream adds for the others, in milliseconds; small, so that it only settles ties.
*/
const msPerOpenStream = 3;
/**
Wait for one more request beyond an engine's slots, in milliseconds: about the time between two ends at a full engine.
*/
const msPerQueued = 40;
/**
Part of the less urgent tokens that are still read first, since a prompt that was begun is read to its end, and the most of
them, in tokens.
*/
const begunShare = 0.5;
const mostBegun = 4000;

/**
 Predicts the delay until a prompt's first token, in milliseconds. Engines read prompts by their rank.

 @example
 measureDelay({load: noLoad, slots: 64, urgency: 0, unread: 500, tokensPerMs: 50}); // 10
 */
export function measureDelay({load, slots, urgency, unread, tokensPerMs}: DelayQuestion): number {
	let before = 0;
	let behind = 0;
	for (const [rank, tokens] of load.pendingPrefill.entries()) {
		before += rank <= urgency ? tokens : 0;
		behind += rank > urgency ? tokens : 0;
	}

	const begun = Math.min(mostBegun, begunShare * behind);
	const queueMs = Math.max(0, load.open + 1 - slots) * msPerQueued;
	return ((before + begun + unread) / tokensPerMs) + (load.open * msPerOpenStream) + queueMs;
}
