/**
 The value below which a part of all values lies; 0 when there are none.

 @example
 findPercentile([1, 2, 3, 4], 0.5); // 2
 */
export function findPercentile(values: readonly number[], part: number): number {
	const sorted = values.toSorted((a, b) => a - b);
	return sorted[Math.max(0, Math.ceil(part * sorted.length) - 1)] ?? 0;
}
