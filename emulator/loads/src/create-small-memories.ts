import type {CallerClass, EmulationFault, EmulationLoad} from '@valvesaddle/emulator-fleet';
import {manySlotsEngine} from './many-slots-engine.ts';

const engines = 31;
const commentaries: CallerClass = {
	name: 'commentaries', perSecond: 48, bursts: [{atMs: 9500, forMs: 4500, factor: 2.6}], objectiveMs: 306, pauseMs: 250, timeoutMs: 15_319, priority: 0, isResumable: false, attempts: 1,
	own: {mean: 543, spread: 0.89, maximum: 2310}, shared: [{
		mean: 103, spread: 0.4, maximum: 257, subjects: 80,
	}, {
		mean: 69, spread: 0.7, maximum: 206, subjects: 780,
	}], events: {mean: 56, spread: 0.7, maximum: 173}, worth: 2, lateWorth: 0.06, retries: 1,
};
const queries: CallerClass = {
	name: 'queries', perSecond: 96, bursts: [], objectiveMs: 508, pauseMs: 400, timeoutMs: 3049, priority: 1, isResumable: true, attempts: 2,
	own: {mean: 1800, spread: 1.3, maximum: 6870}, shared: [{
		mean: 341, spread: 0.4, maximum: 851, subjects: 80,
	}, {
		mean: 227, spread: 0.7, maximum: 681, subjects: 610,
	}], events: {mean: 4.5, spread: 1.4, maximum: 18}, worth: 1.8, lateWorth: 0.18, retries: 1,
};
const digests: CallerClass = {
	name: 'digests', perSecond: 58, bursts: [{atMs: 1500, forMs: 7000, factor: 2.5}], objectiveMs: 1515, pauseMs: 1000, timeoutMs: 5050, priority: 2, isResumable: false, attempts: 1,
	own: {mean: 2890, spread: 1, maximum: 18_300}, shared: [{
		mean: 2520, spread: 0.4, maximum: 6290, subjects: 4,
	}, {
		mean: 3780, spread: 0.7, maximum: 11_300, subjects: 490,
	}], events: {mean: 10.4, spread: 1.4, maximum: 42}, worth: 2.4, lateWorth: 0.24, retries: 1,
};

/**
 Creates the load of engines whose memory holds fewer requests than their slots: a burst of long prompts, then one of long
 answers, while engines are taken away.

 @example
 createSmallMemories().engine.slots; // 64
 */
export function createSmallMemories(): EmulationLoad {
	return {
		name: 'small-memories',
		lengthMs: 14_000,
		nodes: 36,
		newsMs: 100,
		intervalsPerMemberUpdate: 1,
		linkMs: 1,
		slowness: Array.from({length: engines}, () => 1),
		engine: manySlotsEngine,
		classes: [commentaries, queries, digests],
		faults: Array.from({length: 6}, (_value, index): EmulationFault => ({
			kind: 'dark', engine: index, atMs: 7000 + (index * 50), forMs: 20_000, factor: 1,
		})),
	};
}
