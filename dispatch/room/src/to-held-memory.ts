import type {HeldMemory} from './held-memory.ts';

type MemorySum = {
	/**
	Tokens that all requests together hold, with all that they are expected to generate.
	*/
	readonly tokens: number;
	/**
	Their number.
	*/
	readonly requests: number;
	/**
	Mean time from the start of a request to its end, in milliseconds.
	*/
	readonly holdMs: number;
};

/**
Steps in which a sum is freed: enough for waits that are exact to an eighth of a request's time.
*/
const maximumSteps = 8;

/**
 Converts a sum over requests of which only the number is known: they began at even distances, so they end at even distances
 within the time that one takes.

 @example
 toHeldMemory({tokens: 18_000, requests: 2, holdMs: 800}).map(({endsInMs}) => endsInMs); // [400, 800]
 */
export function toHeldMemory({tokens, requests, holdMs}: MemorySum): readonly HeldMemory[] {
	if (tokens <= 0) {
		return [];
	}

	const steps = Math.min(maximumSteps, Math.max(1, Math.ceil(requests)));
	return Array.from({length: steps}, (_value, index) => ({tokens: tokens / steps, growthTokens: 0, endsInMs: holdMs * (index + 1) / steps}));
}
