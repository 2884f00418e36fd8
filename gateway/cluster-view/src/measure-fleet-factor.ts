/**
Fleet size for which the intervals in the settings are meant.
*/
const referenceNodes = 9;
/**
Bounds the delay until a change is in force on all nodes of a large fleet.
*/
const maximumFactor = 12;

/**
 Factor on the intervals of messages between nodes and of calls to the store. It grows with the fleet, so that each node's messages
 and calls per second stay about the same.

 @example
 measureFleetFactor(90); // 10
 */
export function measureFleetFactor(nodes: number): number {
	return Math.min(maximumFactor, Math.max(1, nodes / referenceNodes));
}
