/**
Fleet for which the intervals of the settings are meant.
*/
const usualNodes = 9;
/**
Largest factor, so that news is never older than the bounds for a change to be in force allow.
*/
const largestFactor = 12;

/**
 Factor on the intervals of what every node tells every other or asks the store for: it grows with the fleet, so that a
 node's messages and calls a second stay the same.

 @example
 measureFleet(90); // 10
 */
export function measureFleetFactor(nodes: number): number {
	return Math.min(largestFactor, Math.max(1, nodes / usualNodes));
}
