import type {CallerClass, EmulationLoad} from '@valvesaddle/emulator-fleet';
import {createPauses} from './create-pauses.ts';
import type {PausesLoadOptions} from './pauses-load-options.ts';

const engines = 18;
/**
An engine of a few slots: steps of about 6 ms, 50 ms to prefill the maximum tokens of a step.
*/
const engine: EmulationLoad['engine'] = {
	slots: 12,
	queue: 25,
	cacheTokens: 249_000,
	stepMs: 5.55,
	stepMsPerSequence: 0.029,
	stepMsPerThousandTokens: 0.0152,
	prefillTokensPerMs: 42.6,
	prefillTokensPerStep: 2048,
	msPerMillionPairs: 0.55,
	tokensPerEvent: 5,
};
const queries: CallerClass = {
	name: 'queries', perSecond: 28, bursts: [], objectiveMs: 600, pauseMs: 250, timeoutMs: 15_000, priority: 0, isResumable: false, attempts: 1,
	own: {mean: 628, spread: 1, maximum: 3310}, shared: [{
		mean: 119, spread: 0.4, maximum: 298, subjects: 16,
	}, {
		mean: 79, spread: 0.7, maximum: 238, subjects: 300,
	}], events: {mean: 58, spread: 0.69, maximum: 186}, worth: 1.6, lateWorth: 0.14, retries: 1,
};
const drafts: CallerClass = {
	name: 'drafts', perSecond: 38, bursts: [], objectiveMs: 600, pauseMs: 400, timeoutMs: 5000, priority: 1, isResumable: true, attempts: 2,
	own: {mean: 2890, spread: 1, maximum: 39_600}, shared: [{
		mean: 2520, spread: 0.4, maximum: 6290, subjects: 4,
	}, {
		mean: 3780, spread: 0.7, maximum: 11_300, subjects: 135,
	}], events: {mean: 10.4, spread: 1.4, maximum: 42}, worth: 3.4, lateWorth: 1, retries: 1,
};

/**
 Creates the load of 87 weak nodes, which stand still at times, with 18 engines that pause. With overload, drafts have two bursts and
 nodes stand still more often.

 @example
 createWeakNodes({isOverloaded: false, seed: 1}).nodes; // 87
 */
export function createWeakNodes({isOverloaded, seed}: PausesLoadOptions): EmulationLoad {
	const nodes = 87;
	const lengthMs = 14_000;
	const bursts = [{atMs: 1000, forMs: 3500, factor: 2.4}, {atMs: 7500, forMs: 3500, factor: 2.4}];
	return {
		name: isOverloaded ? 'weak-nodes-overload' : 'weak-nodes',
		lengthMs,
		nodes,
		newsMs: 125,
		intervalsPerMemberUpdate: 2,
		linkMs: 1,
		slowness: Array.from({length: engines}, (_value, index) => index % 3 === 2 ? 1.3 : 1),
		engine,
		classes: [queries, {...drafts, bursts: isOverloaded ? bursts : []}],
		faults: createPauses({
			seed, engines, nodes, lengthMs, enginePauses: 10, foreignPrompts: 12, nodePauses: isOverloaded ? 140 : 70, darkAtMs: 9000,
		}),
		retryBudget: {ratio: 0.2, slack: 100},
	};
}
