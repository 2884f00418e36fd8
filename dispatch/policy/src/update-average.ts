/**
 Updates an exponentially weighted moving average.

 @param previous - Average so far; `undefined` before the first sample.
 @param sample - New value.
 @param weight - Weight of the new sample, 0 to 1.
 @example
 updateAverage(100, 200, 0.1); // 110
 */
export function updateAverage(previous: number | undefined, sample: number, weight: number): number {
	return previous === undefined ? sample : previous + ((sample - previous) * weight);
}
