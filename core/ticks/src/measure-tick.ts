/**
A tick nearer than this share of the period is skipped, since a timer that fired early has already run for it.
*/
const minimumShare = 0.25;

/**
 Time until the next tick of a period, in milliseconds. Ticks are multiples of the period on the monotonic clock of the process, so
 that timers of the same period, or of periods that divide each other, fire together and the process wakes up once.

 @param periodMs - In milliseconds, above 0.
 @example
 await wait(measureTick(250));
 */
export function measureTick(periodMs: number): number {
	const remainingMs = periodMs - (performance.now() % periodMs);
	return remainingMs < minimumShare * periodMs ? remainingMs + periodMs : remainingMs;
}
