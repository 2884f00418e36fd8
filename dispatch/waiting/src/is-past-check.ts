import type {WaitingInput} from './waiting-input.ts';

/**
Share of the objective after which a request is held only if it will be in time: a caller that is told so early has most of its
objective left for coming back.
*/
const earlyShare = 1 / 8;

/**
 Whether a request has waited for so long that its prediction decides whether it is held.

 @example
 isPastCheck({waitedMs: 80, objectiveMs: 600}); // true
 */
export function isPastCheck({waitedMs, objectiveMs}: Pick<WaitingInput, 'waitedMs' | 'objectiveMs'>): boolean {
	return waitedMs >= earlyShare * objectiveMs;
}
