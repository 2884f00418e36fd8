import type {CallerClass, EmulationLoad} from '@valvesaddle/emulator-fleet';

const engines = 55;
/**
A small engine: steps of about 3 ms, 17 ms to prefill the maximum tokens of a step.
*/
const engine: EmulationLoad['engine'] = {
	slots: 24,
	queue: 24,
	cacheTokens: 478_330,
	stepMs: 3.09,
	stepMsPerSequence: 0.02,
	stepMsPerThousandTokens: 0.007,
	prefillTokensPerMs: 61.8,
	prefillTokensPerStep: 1024,
	msPerMillionPairs: 0.4,
	tokensPerEvent: 7,
};
const queries: CallerClass = {
	name: 'queries', perSecond: 103, bursts: [{atMs: 6000, forMs: 4000, factor: 1.6}], objectiveMs: 254, pauseMs: 150, timeoutMs: 10_159, priority: 0, isResumable: true, attempts: 2,
	own: {mean: 628, spread: 1, maximum: 3300}, shared: [{
		mean: 120, spread: 0.4, maximum: 300, subjects: 1,
	}, {
		mean: 78, spread: 0.7, maximum: 240, subjects: 1700,
	}], events: {mean: 42, spread: 0.7, maximum: 120}, worth: 2.3, lateWorth: 0.33, retries: 1,
};
const checks: CallerClass = {
	name: 'checks', perSecond: 96, bursts: [], objectiveMs: 405, pauseMs: 250, timeoutMs: 2530, priority: 1, isResumable: false, attempts: 1,
	own: {mean: 1800, spread: 1, maximum: 8000}, shared: [{
		mean: 340, spread: 0.4, maximum: 850, subjects: 1,
	}, {
		mean: 230, spread: 0.7, maximum: 680, subjects: 1100,
	}], events: {mean: 3, spread: 0.7, maximum: 12}, worth: 1.4, lateWorth: 0.71, retries: 1,
};
const drafts: CallerClass = {
	name: 'drafts', perSecond: 54, bursts: [{atMs: 3000, forMs: 6000, factor: 1.9}], objectiveMs: 2010, pauseMs: 600, timeoutMs: 12_058, priority: 2, isResumable: false, attempts: 1,
	own: {mean: 6610, spread: 1, maximum: 60_000}, shared: [{
		mean: 512, spread: 0.4, maximum: 1280, subjects: 1,
	}, {
		mean: 4870, spread: 0.7, maximum: 14_000, subjects: 404,
	}], events: {mean: 55, spread: 0.45, maximum: 160}, worth: 2.6, lateWorth: 1.3, retries: 1,
};

/**
 Creates the load of a large fleet: 195 nodes that exchange load updates through relays, 55 engines of which a tenth are
 slow, and bursts of drafts and queries.

 @example
 createLargeFleet().nodes; // 195
 */
export function createLargeFleet(): EmulationLoad {
	return {
		name: 'large-fleet',
		lengthMs: 14_000,
		nodes: 195,
		newsMs: 125,
		intervalsPerMemberUpdate: 2,
		linkMs: 1,
		slowness: Array.from({length: engines}, (_value, index) => index % 10 === 9 ? 1.3 : 1),
		engine,
		classes: [queries, checks, drafts],
		faults: [
			{
				kind: 'crash', engine: 1, atMs: 5000, forMs: 0, factor: 1,
			},
		],
	};
}
