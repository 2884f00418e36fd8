import type {EmulationFault} from '@valvesaddle/emulator-fleet';
import {createRandom} from '@valvesaddle/random';

type PausesOptions = {
	/**
	Seed of the faults' times, lengths and places.
	*/
	readonly seed: number;
	readonly engines: number;
	readonly nodes: number;
	readonly lengthMs: number;
	/**
	Pauses of engines, foreign prompts and pauses of nodes.
	*/
	readonly enginePauses: number;
	readonly foreignPrompts: number;
	readonly nodePauses: number;
	/**
	When the last engine goes dark for good, in milliseconds.
	*/
	readonly darkAtMs: number;
};

/**
Shortest and longest pauses of engines and of nodes, in milliseconds, and sizes of foreign prompts, in tokens.
*/
const enginePauseMs = [500, 2500] as const;
const nodePauseMs = [400, 1000] as const;
const foreignTokens = [15_000, 60_000] as const;

/**
 Creates faults that make nodes suspect attempts: engines that stand still for 0.5 to 2.5 s, that prefill prompts of others, and one
 that goes dark for good; and nodes that stand still for 0.4 to 1 s.

 @example
 createPauses({seed: 1, engines: 6, nodes: 9, lengthMs: 24_000, enginePauses: 8, foreignPrompts: 12, nodePauses: 20, darkAtMs: 9000}).length; // 41
 */
export function createPauses({seed, engines, nodes, lengthMs, enginePauses, foreignPrompts, nodePauses, darkAtMs}: PausesOptions): readonly EmulationFault[] {
	const random = createRandom(seed);

	function drawBetween([least, most]: readonly [number, number]): number {
		return Math.round(least + (random() * (most - least)));
	}

	function createFault(kind: EmulationFault['kind'], count: number, change: Partial<EmulationFault>): EmulationFault {
		return {
			kind, engine: Math.floor(random() * count), atMs: Math.round(random() * lengthMs), forMs: 0, factor: 1, ...change,
		};
	}

	return [
		...Array.from({length: enginePauses}, () => createFault('pause', engines, {forMs: drawBetween(enginePauseMs)})),
		...Array.from({length: foreignPrompts}, () => createFault('foreign-prompt', engines, {factor: drawBetween(foreignTokens)})),
		...Array.from({length: nodePauses}, () => createFault('node-pause', nodes, {forMs: drawBetween(nodePauseMs)})),
		{
			kind: 'dark', engine: engines - 1, atMs: darkAtMs, forMs: Infinity, factor: 1,
		},
	];
}
