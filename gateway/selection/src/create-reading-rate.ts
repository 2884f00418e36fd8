import type {ReadingRate} from './reading-rate.ts';

/**
Shorter prompts say more about the way to the engine than about its reading.
*/
const leastTokens = 2000;
/**
Time to the first token that is not spent reading, in milliseconds.
*/
const baseMs = 10;
/**
What is left of the estimate after each sample, so that it follows engines that turn slow.
*/
const keptPart = 0.995;
/**
An engine that reads beside other work reaches this part of the best that was seen.
*/
const usualPart = 0.85;

/**
 Creates the estimate of a pool's reading rate, in tokens a millisecond. A prompt that waited shows too low a rate, so the
 best of late counts.

 @example
 const rate = createReadingRate(50);
 rate.record(6000, 110);
 rate.get(); // 51
 */
export function createReadingRate(first: number): ReadingRate {
	let best = first;

	return {
		get: () => best * usualPart,
		record(tokens, milliseconds) {
			if (tokens >= leastTokens) {
				best = Math.max(best * keptPart, tokens / Math.max(1, milliseconds - baseMs));
			}
		},
	};
}
