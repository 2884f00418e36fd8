import type {CallerClass, EmulationFault, EmulationLoad} from '@valvesaddle/emulator-fleet';
import {createRandom} from '@valvesaddle/random';

const engines = 31;
/**
An engine of few slots: steps of about 6 ms, 19 ms to prefill the maximum tokens of a step.
*/
const engine: EmulationLoad['engine'] = {
	slots: 16,
	queue: 48,
	cacheTokens: 332_859,
	stepMs: 6.08,
	stepMsPerSequence: 0.0413,
	stepMsPerThousandTokens: 0.005,
	prefillTokensPerMs: 110,
	prefillTokensPerStep: 2048,
	msPerMillionPairs: 0.325,
	tokensPerEvent: 5,
};
/**
Factors on the times of the engines: a third each is slow, usual and fast.
*/
const slowness = [1 / 0.6, 1, 1 / 1.6];
/**
Share of time for which each engine is slower still, by how much, and for how long at once.
*/
const disturbedShare = 0.15;
const disturbedFactor = 2.5;
const disturbedMs = 600;

const chats: CallerClass = {
	name: 'chats', perSecond: 18, bursts: [{atMs: 11_000, forMs: 4000, factor: 2.5}], objectiveMs: 606, pauseMs: 150, timeoutMs: 15_160, priority: 0, isResumable: true, attempts: 2,
	own: {mean: 543, spread: 0.89, maximum: 2310}, shared: [{
		mean: 103, spread: 0.4, maximum: 257, subjects: 40,
	}, {
		mean: 69, spread: 0.7, maximum: 206, subjects: 260,
	}], events: {mean: 56, spread: 1.2, maximum: 169}, worth: 6.7, lateWorth: 0.2, retries: 1,
};
const explanations: CallerClass = {
	name: 'explanations', perSecond: 110, bursts: [{atMs: 9000, forMs: 5000, factor: 2}], objectiveMs: 608, pauseMs: 250, timeoutMs: 3041, priority: 1, isResumable: false, attempts: 1,
	own: {mean: 1800, spread: 1.3, maximum: 6870}, shared: [{
		mean: 341, spread: 0.4, maximum: 851, subjects: 80,
	}, {
		mean: 227, spread: 0.7, maximum: 681, subjects: 740,
	}], events: {mean: 4.5, spread: 1.6, maximum: 18}, worth: 1.7, lateWorth: 0.17, retries: 1,
};
const summaries: CallerClass = {
	name: 'summaries', perSecond: 120, bursts: [{atMs: 500, forMs: 6000, factor: 2.4}], objectiveMs: 815, pauseMs: 600, timeoutMs: 5094, priority: 2, isResumable: true, attempts: 2,
	own: {mean: 2890, spread: 1, maximum: 18_300}, shared: [{
		mean: 2520, spread: 0.4, maximum: 6290, subjects: 4,
	}, {
		mean: 3780, spread: 0.7, maximum: 11_300, subjects: 1400,
	}], events: {mean: 10.4, spread: 1.6, maximum: 42}, worth: 2.2, lateWorth: 0.22, retries: 1,
};

/**
 Creates the load of engines that differ by speed, in bursts of long prompts: 31 nodes hear of each other every 100 ms.

 @example
 createUnevenEngines(1).slowness.length; // 31
 */
export function createUnevenEngines(seed: number): EmulationLoad {
	const lengthMs = 14_000;
	const random = createRandom(seed);
	const disturbances = Array.from({length: engines}, (_value, index) => index).flatMap(index => Array.from({length: Math.floor(lengthMs / disturbedMs)}, (_value, slot) => slot)
		.filter(() => random() < disturbedShare)
		.map((slot): EmulationFault => ({
			kind: 'slow', engine: index, atMs: slot * disturbedMs, forMs: disturbedMs - 1, factor: disturbedFactor,
		})));
	return {
		name: 'uneven-engines',
		lengthMs,
		nodes: 31,
		newsMs: 100,
		intervalsPerMemberUpdate: 1,
		linkMs: 1,
		slowness: Array.from({length: engines}, (_value, index) => slowness[index % slowness.length] ?? 1),
		engine,
		classes: [chats, explanations, summaries],
		faults: [
			...disturbances,
			...Array.from({length: 5}, (_value, index): EmulationFault => ({
				kind: 'crash', engine: index, atMs: 6500 + (index * 100), forMs: 0, factor: 1,
			})),
		],
	};
}
