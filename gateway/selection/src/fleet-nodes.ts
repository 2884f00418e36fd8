/**
Nodes among which the limits of endpoints are divided.
*/
export type FleetNodes = {
	readonly self: string;
	/**
	IDs of all nodes, this one included, in any order.
	*/
	readonly list: () => readonly string[];
};
