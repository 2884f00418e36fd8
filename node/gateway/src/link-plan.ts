/**
A node's links to others: all to all in a small fleet, by way of relays in a larger one.
*/
export type LinkPlan = {
	/**
	Opens and breaks links as the plan and the last signs of life ask for.
	*/
	readonly update: () => void;
	/**
	Notes a sign of life that was sent at that time, on this node's steady clock in milliseconds.
	*/
	readonly markSeen: (node: string, at: number) => void;
	/**
	Notes that a link broke; a node whose relay it was moves to another one at once.
	*/
	readonly markLost: (node: string) => void;
	readonly isRelay: (node: string) => boolean;
	/**
	Whether this node follows the store for others.
	*/
	readonly isFollower: () => boolean;
	/**
	Whether this node hears of changes from that one: its relay, or for a relay the first follower that it is linked to.
	*/
	readonly isSource: (node: string) => boolean;
	/**
	Whether every node is linked with every other.
	*/
	readonly isMesh: () => boolean;
	/**
	The relay that this node is linked to; `undefined` for a relay.
	*/
	readonly parent: () => string | undefined;
	/**
	Linked relays: the others for a relay, the parent for any other node.
	*/
	readonly listRelays: () => readonly string[];
	/**
	Linked nodes that follow the store for others.
	*/
	readonly listFollowers: () => readonly string[];
	/**
	Linked nodes that are no relays themselves.
	*/
	readonly listMembers: () => readonly string[];
};
