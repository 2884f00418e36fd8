import type {DelayMeter} from './delay-meter.ts';

/**
Time after which the least difference is taken anew, in milliseconds; the one before counts as long again, so that steady clocks
that drift by 50 parts in a million seem 6 ms apart at most.
*/
const spanMs = 60_000;

type Link = {
	/**
	Least difference between sending and receipt, in this span and in the one before.
	*/
	readonly least: number;
	readonly leastBefore: number;
	readonly beganAt: number;
	/**
	Delay of the last message, in milliseconds.
	*/
	readonly delay: number;
};

/**
 Creates the meter of delays. Steady clocks of two processes differ by nearly a constant, so the smallest difference between
 sending and receipt on a link of late stands for its usual way, and what is over it was spent waiting, in a queue or by a
 process that stood still.

 @example
 const delays = createDelayMeter();
 delays.measure('n2', 5000); // 0
 */
export function createDelayMeter(): DelayMeter {
	const links = new Map<string, Link>();

	function updateSpan(link: Link, now: number): Link {
		return now - link.beganAt < spanMs
			? link
			: {
				...link, least: Infinity, leastBefore: link.least, beganAt: now,
			};
	}

	return {
		measure(node, sentAt) {
			const now = performance.now();
			const difference = now - sentAt;
			const link = updateSpan(links.get(node) ?? {
				least: Infinity, leastBefore: Infinity, beganAt: now, delay: 0,
			}, now);
			const least = Math.min(difference, link.least);
			const delay = difference - Math.min(least, link.leastBefore);
			links.set(node, {...link, least, delay});
			return delay;
		},
		get: node => links.get(node)?.delay ?? 0,
		remove(node) {
			links.delete(node);
		},
	};
}
