import {createRandom} from '@valvesaddle/random';
import type {DutyFault} from './duty-fault.ts';

const kinds: ReadonlyArray<DutyFault['kind']> = ['freeze', 'kill', 'store-down', 'store-refuses', 'store-loses', 'platform-loses', 'platform-busy', 'no-spot'];
const maximumFaults = 8;
const nodeCount = 4;
const maximumStartMs = 33_000;
const minimumDurationMs = 300;
const maximumDurationMs = 7000;

/**
 Draws the faults of a run, which may overlap.

 @example
 drawFaults(7).length; // 1 to 8
 */
export function drawFaults(seed: number): readonly DutyFault[] {
	const random = createRandom(seed);
	return Array.from({length: 1 + Math.floor(random() * maximumFaults)}, (): DutyFault => {
		const at = Math.round(random() * maximumStartMs);
		return {
			kind: kinds[Math.floor(random() * kinds.length)] ?? 'kill',
			node: Math.floor(random() * nodeCount),
			at,
			until: at + Math.round(minimumDurationMs + (random() * (maximumDurationMs - minimumDurationMs))),
		};
	});
}
