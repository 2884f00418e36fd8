/**
Keeps a cluster view up to date from the store, and the node's own entry there.
*/
export type StoreFollower = {
	readonly start: () => void;
	/**
	Whether the store answered last.
	*/
	readonly isReachable: () => boolean;
	/**
	Whether the store has answered for long enough that nothing can have lapsed.
	*/
	readonly isSteady: () => boolean;
	/**
	Whether the nodes of a fleet that starts at once have had time to register.
	*/
	readonly hasSettled: () => boolean;
	/**
	Ends the node's entry and stops.
	*/
	readonly close: () => Promise<void>;
};
