/**
How the nodes of a fleet are linked. Nodes with the same list of members plan the same overlay.
*/
export type Overlay = {
	/**
	Whether every node is linked with every other.
	*/
	readonly isMesh: boolean;
	/**
	Nodes that are linked with each other and forward for their members, by rank, with their data centres.
	*/
	readonly relays: ReadonlyMap<string, string>;
	/**
	Capacity of each relay relative to the largest in its data centre, above 0 up to 1.
	*/
	readonly relativeCapacities: ReadonlyMap<string, number>;
	/**
	Relays that watch the store for all nodes.
	*/
	readonly followers: ReadonlySet<string>;
};
