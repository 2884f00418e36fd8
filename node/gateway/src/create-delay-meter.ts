import type {DelayMeter} from './delay-meter.ts';

/**
Time after which the smallest difference is measured again, in milliseconds. That of the window before counts too, so clocks that
drift by 50 ppm differ by 6 ms at most.
*/
const windowMs = 60_000;

type Link = {
	/**
	Smallest difference between sending and receipt, in this window and in the one before.
	*/
	readonly minimum: number;
	readonly previousMinimum: number;
	readonly startedAt: number;
	/**
	Delay of the last message, in milliseconds.
	*/
	readonly delay: number;
};

/**
 Creates the meter of delays. The monotonic clocks of two processes differ by a nearly constant offset, so the smallest recent
 difference between sending and receipt on a link is the baseline; what exceeds it was spent in a queue or in a paused process.

 @example
 const delays = createDelayMeter();
 delays.measure('n2', 5000); // 0
 */
export function createDelayMeter(): DelayMeter {
	const links = new Map<string, Link>();

	function updateWindow(link: Link, now: number): Link {
		return now - link.startedAt < windowMs
			? link
			: {
				...link, minimum: Infinity, previousMinimum: link.minimum, startedAt: now,
			};
	}

	return {
		measure(node, sentAt) {
			const now = performance.now();
			const difference = now - sentAt;
			const link = updateWindow(links.get(node) ?? {
				minimum: Infinity, previousMinimum: Infinity, startedAt: now, delay: 0,
			}, now);
			const minimum = Math.min(difference, link.minimum);
			const delay = difference - Math.min(minimum, link.previousMinimum);
			links.set(node, {...link, minimum, delay});
			return delay;
		},
		get: node => links.get(node)?.delay ?? 0,
		remove(node) {
			links.delete(node);
		},
	};
}
