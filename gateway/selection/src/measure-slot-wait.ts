/**
Wait for each request beyond an engine's slots: about the time until the next request ends at a full engine.
*/
const msPerQueued = 40;

/**
 Predicts how long a new request waits for a slot of an endpoint, in milliseconds.

 @example
 measureSlotWait(65, 64); // 80
 */
export function measureSlotWait(open: number, slots: number): number {
	return Math.max(0, open + 1 - slots) * msPerQueued;
}
