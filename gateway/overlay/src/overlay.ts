/**
How the nodes of a fleet are linked. All nodes that know the same members plan alike.
*/
export type Overlay = {
	/**
	Whether every node is linked with every other.
	*/
	readonly isMesh: boolean;
	/**
	Nodes that are linked with each other and pass news on, the best first, and their data centres.
	*/
	readonly relays: ReadonlyMap<string, string>;
	/**
	What each relay can carry against the strongest of its data centre, above 0 up to 1.
	*/
	readonly relativeCapacities: ReadonlyMap<string, number>;
	/**
	Relays that follow the store for all.
	*/
	readonly followers: ReadonlySet<string>;
};
