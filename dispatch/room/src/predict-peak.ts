import type {HeldMemory} from './held-memory.ts';

/**
 Predicts the most tokens that running requests hold at an engine at any time from now on. Memory grows until a request ends, so
 only now, the ends of requests and the end of the time need to be looked at.

 @param held - Running requests.
 @param untilMs - End of the time, in milliseconds from now.
 @example
 predictPeak([{tokens: 9000, growthTokens: 100, endsInMs: 500}], 250); // 9050
 */
export function predictPeak(held: readonly HeldMemory[], untilMs: number): number {
	const running = held.filter(({endsInMs}) => endsInMs > 0).toSorted((a, b) => a.endsInMs - b.endsInMs);
	let heldTokens = 0;
	let tokensPerMs = 0;
	for (const {tokens, growthTokens, endsInMs} of running) {
		heldTokens += tokens;
		tokensPerMs += growthTokens / endsInMs;
	}

	let peak = heldTokens;
	for (const {tokens, growthTokens, endsInMs} of running) {
		peak = Math.max(peak, heldTokens + (tokensPerMs * Math.min(endsInMs, untilMs)));
		if (endsInMs >= untilMs) {
			break;
		}

		heldTokens -= tokens;
		tokensPerMs -= growthTokens / endsInMs;
	}

	return peak;
}
