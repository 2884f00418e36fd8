import type {CallerClass, EmulationLoad} from '@valvesaddle/emulator-fleet';

/**
A large engine: steps of about 6 ms, 50 ms to prefill the maximum tokens of a step.
*/
const engine: EmulationLoad['engine'] = {
	slots: 64,
	queue: 128,
	cacheTokens: 330_000,
	stepMs: 5.5,
	stepMsPerSequence: 0.03,
	stepMsPerThousandTokens: 0.015,
	prefillTokensPerMs: 43,
	prefillTokensPerStep: 2048,
	msPerMillionPairs: 0.5,
	tokensPerEvent: 3,
};
/**
Short prompts with long streamed answers and a pause objective.
*/
const queries: CallerClass = {
	name: 'queries', perSecond: 25, bursts: [], objectiveMs: 600, pauseMs: 200, timeoutMs: 15_000, priority: 0, isResumable: false, attempts: 1,
	own: {mean: 630, spread: 1, maximum: 3300}, shared: [{
		mean: 120, spread: 0.4, maximum: 300, subjects: 8,
	}, {
		mean: 80, spread: 0.7, maximum: 240, subjects: 224,
	}], events: {mean: 97, spread: 0.7, maximum: 250}, worth: 1.7, lateWorth: 0.16, retries: 1,
};
/**
Long prompts with recurring shared parts, and short answers.
*/
const drafts: CallerClass = {
	name: 'drafts', perSecond: 12, bursts: [], objectiveMs: 600, pauseMs: 300, timeoutMs: 6000, priority: 1, isResumable: true, attempts: 2,
	own: {mean: 2900, spread: 1, maximum: 40_000}, shared: [{
		mean: 2500, spread: 0.4, maximum: 6300, subjects: 4,
	}, {
		mean: 3800, spread: 0.7, maximum: 11_000, subjects: 74,
	}], events: {mean: 17, spread: 1.4, maximum: 70}, worth: 3.6, lateWorth: 1.1, retries: 1,
};

/**
 Creates a load of drafts (long prompts) and queries (long answers) on six engines, two of them slow. Drafts have two
 bursts, queries one between them.

 @example
 createDraftsBesideQueries().classes.length; // 2
 */
export function createDraftsBesideQueries(): EmulationLoad {
	return {
		name: 'drafts-beside-queries',
		lengthMs: 24_000,
		nodes: 9,
		newsMs: 20,
		intervalsPerMemberUpdate: 1,
		linkMs: 3,
		slowness: [1, 1, 1, 1, 1.28, 1.28],
		engine,
		classes: [
			{...queries, bursts: [{atMs: 11_000, forMs: 5000, factor: 1.9}]},
			{...drafts, bursts: [{atMs: 500, forMs: 9000, factor: 2.1}, {atMs: 17_500, forMs: 4000, factor: 2}]},
		],
		faults: [
			{
				kind: 'crash', engine: 1, atMs: 6500, forMs: 0, factor: 1,
			},
		],
	};
}
