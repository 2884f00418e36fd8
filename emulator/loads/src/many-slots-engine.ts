import type {EmulationLoad} from '@valvesaddle/emulator-fleet';

/**
An engine with many slots and a KV cache for a third of them: steps of about 5 ms, 50 ms to prefill the maximum tokens of a step.
*/
export const manySlotsEngine: EmulationLoad['engine'] = {
	slots: 64,
	queue: 192,
	cacheTokens: 206_343,
	stepMs: 4.63,
	stepMsPerSequence: 0.0116,
	stepMsPerThousandTokens: 0.0161,
	prefillTokensPerMs: 41.4,
	prefillTokensPerStep: 2048,
	msPerMillionPairs: 0.59,
	tokensPerEvent: 5,
};
