import type {EngineProfile} from './engine-profile.ts';

const pairsPerMillion = 1_000_000;

/**
 Measures the time to prefill tokens of a prompt, in milliseconds.

 @param profile - Speeds of the engine.
 @param tokens - Tokens to prefill.
 @param tokensBefore - Tokens of the prompt before them.
 @example
 measurePrefill(profile, 2048, 0); // 50
 */
export function measurePrefill(profile: EngineProfile, tokens: number, tokensBefore: number): number {
	const before = tokensBefore + (tokens / 2);
	return (tokens / profile.prefillTokensPerMs) + (tokens * before / pairsPerMillion * profile.msPerMillionPairs);
}
