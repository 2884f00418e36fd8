/**
Largest part of a pool that is kept free.
*/
const largestHeadroom = 0.25;

/**
What the headroom is worked out from.
*/
type HeadroomInput = {
	/**
	Arrivals of urgent requests per second.
	*/
	readonly urgentPerSecond: number;
	/**
	Average time that an urgent grant is held, in milliseconds.
	*/
	readonly urgentHoldMs: number;
	readonly urgentInFlight: number;
	readonly slots: number;
};

/**
 Sizes the part of a pool that is kept free for urgent work: the slots that urgent arrivals need on average and one
 standard deviation of a Poisson process more, less those that they hold already.

 @example
 measureHeadroom({urgentPerSecond: 2, urgentHoldMs: 1000, urgentInFlight: 0, slots: 40}); // 0.0853…
 */
export function measureHeadroom({urgentPerSecond, urgentHoldMs, urgentInFlight, slots}: HeadroomInput): number {
	if (slots <= 0) {
		return 0;
	}

	const needed = urgentPerSecond * (urgentHoldMs / 1000);
	const missing = needed + Math.sqrt(needed) - urgentInFlight;
	return Math.min(largestHeadroom, Math.max(0, missing / slots));
}
