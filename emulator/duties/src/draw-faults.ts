import {createRandom} from '@valvesaddle/random';
import type {DutyFault} from './duty-fault.ts';

const kinds: ReadonlyArray<DutyFault['kind']> = ['freeze', 'kill', 'store-down', 'store-refuses', 'store-loses', 'platform-loses', 'platform-busy', 'no-spot'];
const mostFaults = 8;
const nodeCount = 4;
const lastStartMs = 33_000;
const shortestMs = 300;
const longestMs = 7000;

/**
 Draws the faults of a run, in series and overlapping.

 @example
 drawFaults(7).length; // 1 to 8
 */
export function drawFaults(seed: number): readonly DutyFault[] {
	const random = createRandom(seed);
	return Array.from({length: 1 + Math.floor(random() * mostFaults)}, (): DutyFault => {
		const at = Math.round(random() * lastStartMs);
		return {
			kind: kinds[Math.floor(random() * kinds.length)] ?? 'kill', node: Math.floor(random() * nodeCount), at, until: at + Math.round(shortestMs + (random() * (longestMs - shortestMs))),
		};
	});
}
