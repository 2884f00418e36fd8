/**
A tick that is nearer than this part of the period is passed over: the work has just been done, by a timer that fired early.
*/
const nearestShare = 0.25;

/**
 Time until the next tick of a period, in milliseconds. Ticks are the multiples of the period on the steady clock of the process:
 work of one period, or of periods that divide each other, comes due at the same moment, for which the process wakes up once.

 @param periodMs - In milliseconds, above 0.
 @example
 await wait(measureTick(250));
 */
export function measureTick(periodMs: number): number {
	const leftMs = periodMs - (performance.now() % periodMs);
	return leftMs < nearestShare * periodMs ? leftMs + periodMs : leftMs;
}
