import type {HeldMemory} from './held-memory.ts';

/**
 Predicts the tokens that running requests hold at an engine after some time: each grows evenly until it ends.

 @param held - Running requests.
 @param atMs - Time from now, in milliseconds.
 @example
 predictMemory([{tokens: 9000, growthTokens: 100, endsInMs: 500}], 250); // 9050
 */
export function predictMemory(held: readonly HeldMemory[], atMs: number): number {
	let sum = 0;
	for (const {tokens, growthTokens, endsInMs} of held) {
		sum += atMs < endsInMs ? tokens + (growthTokens * atMs / endsInMs) : 0;
	}

	return sum;
}
