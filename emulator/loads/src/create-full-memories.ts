import type {CallerClass, EmulationLoad} from '@valvesaddle/emulator-fleet';
import {manySlotsEngine} from './many-slots-engine.ts';

const engines = 4;
/**
Memory for some ten digests.
*/
const cacheTokens = 40_000;
const queries: CallerClass = {
	name: 'queries', perSecond: 8, bursts: [], objectiveMs: 500, pauseMs: 250, timeoutMs: 5000, priority: 0, isResumable: false, attempts: 1,
	own: {mean: 500, spread: 0.5, maximum: 1500}, shared: [{
		mean: 100, spread: 0.4, maximum: 200, subjects: 20,
	}], events: {mean: 20, spread: 0.5, maximum: 40}, worth: 2, lateWorth: 0.1, retries: 1,
};
const digests: CallerClass = {
	name: 'digests', perSecond: 11, bursts: [], objectiveMs: 1500, pauseMs: 250, timeoutMs: 15_000, priority: 2, isResumable: false, attempts: 1,
	own: {mean: 1500, spread: 0.5, maximum: 4000}, shared: [{
		mean: 2000, spread: 0.2, maximum: 3000, subjects: 3,
	}], events: {mean: 150, spread: 0.3, maximum: 300}, worth: 2.4, lateWorth: 0.24, retries: 1,
};

/**
 Creates the load of long answers that fill the memory of engines, about three subjects that draw them to the engines that have
 read these.

 @example
 createFullMemories().engine.cacheTokens; // 40000
 */
export function createFullMemories(): EmulationLoad {
	return {
		name: 'full-memories',
		lengthMs: 8000,
		nodes: 3,
		newsMs: 100,
		intervalsPerMemberUpdate: 1,
		linkMs: 1,
		slowness: Array.from({length: engines}, () => 1),
		engine: {...manySlotsEngine, cacheTokens, isSharedHeldOnce: true},
		classes: [queries, digests],
		faults: [],
	};
}
