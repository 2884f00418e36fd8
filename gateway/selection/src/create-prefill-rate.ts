import type {PrefillRate} from './prefill-rate.ts';

/**
Shorter prompts are ignored, since network delay dominates their time to the first token.
*/
const minimumTokens = 2000;
/**
Part of the time to the first token that is not prefill.
*/
const baseMs = 10;
/**
Decay of the estimate with each sample, so that it follows engines that slow down.
*/
const decay = 0.995;
/**
Typical rate of an engine that also serves other requests, as a share of the best rate.
*/
const typicalShare = 0.85;

/**
 Creates the estimate of a pool's prefill rate, in tokens per millisecond. A prompt that waited in a queue shows too low a rate,
 so the best recent rate is used.

 @example
 const rate = createPrefillRate(50);
 rate.record(6000, 110);
 rate.get(); // 51
 */
export function createPrefillRate(initial: number): PrefillRate {
	let best = initial;

	return {
		get: () => best * typicalShare,
		getBest: () => best,
		record(tokens, milliseconds) {
			if (tokens >= minimumTokens) {
				best = Math.max(best * decay, tokens / Math.max(1, milliseconds - baseMs));
			}
		},
	};
}
