/**
Keeps a cluster view up to date with the store, and the node registered there.
*/
export type StoreFollower = {
	readonly start: () => void;
	/**
	Whether the store answered the latest call.
	*/
	readonly isReachable: () => boolean;
	/**
	Whether the view follows the store without a gap, and the grace period after an outage is over.
	*/
	readonly isSteady: () => boolean;
	/**
	Whether the nodes of a fleet that starts at once have had time to register.
	*/
	readonly hasSettled: () => boolean;
	/**
	Stops, and removes the node's entry from the store.
	*/
	readonly close: () => Promise<void>;
};
