/**
A node's links to its peers: to all of them in a small fleet, through relays in a larger one.
*/
export type LinkPlan = {
	/**
	Opens and closes links by the plan and the last messages received.
	*/
	readonly update: () => void;
	/**
	Records a message that was sent at that time, on this node's monotonic clock in milliseconds.
	*/
	readonly markSeen: (node: string, at: number) => void;
	/**
	Records that a link was lost; if it was the link to the parent, the node chooses another parent at once.
	*/
	readonly markLost: (node: string) => void;
	readonly isRelay: (node: string) => boolean;
	/**
	Whether this node watches the store for others.
	*/
	readonly isFollower: () => boolean;
	/**
	Whether the links were planned; until then the node knows no other.
	*/
	readonly isPlanned: () => boolean;
	/**
	Whether this node receives changes from that one: its parent, or for a relay the first follower that it is linked to.
	*/
	readonly isSource: (node: string) => boolean;
	/**
	Whether every node is linked to every other.
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
	Linked nodes that watch the store for others.
	*/
	readonly listFollowers: () => readonly string[];
	/**
	Linked nodes that aren't relays.
	*/
	readonly listMembers: () => readonly string[];
};
