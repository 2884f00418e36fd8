import type {DelayMeter} from './delay-meter.ts';

/**
 Creates the meter of delays. Steady clocks of two processes differ by a constant, so the smallest difference between sending
 and receipt of a node's messages stands for its usual way, and what is over it was spent waiting, in a queue or by a process that stood
 still.

 @example
 const delays = createDelayMeter();
 delays.measure('n2', 5000); // 0
 */
export function createDelayMeter(): DelayMeter {
	const quickest = new Map<string, number>();
	const last = new Map<string, number>();

	return {
		measure(node, sentAt) {
			const difference = performance.now() - sentAt;
			const least = Math.min(difference, quickest.get(node) ?? difference);
			quickest.set(node, least);
			last.set(node, difference - least);
			return difference - least;
		},
		get: node => last.get(node) ?? 0,
		remove(node) {
			quickest.delete(node);
			last.delete(node);
		},
	};
}
