/**
Maximum share of a pool's slots that is reserved.
*/
const maximumHeadroom = 0.25;

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
 Measures the share of a pool's slots to reserve for urgent requests: the mean number of urgent requests in flight plus
 one standard deviation of a Poisson process, less those already in flight.

 @example
 measureHeadroom({urgentPerSecond: 2, urgentHoldMs: 1000, urgentInFlight: 0, slots: 40}); // 0.0853…
 */
export function measureHeadroom({urgentPerSecond, urgentHoldMs, urgentInFlight, slots}: HeadroomInput): number {
	if (slots <= 0) {
		return 0;
	}

	const requiredSlots = urgentPerSecond * (urgentHoldMs / 1000);
	const missingSlots = requiredSlots + Math.sqrt(requiredSlots) - urgentInFlight;
	return Math.min(maximumHeadroom, Math.max(0, missingSlots / slots));
}
