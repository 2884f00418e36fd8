/**
Tells peers of the node's work and beliefs, and learns of theirs.
*/
export type PeerSync = {
	readonly start: () => void;
	/**
	Whether this node has to watch the store itself.
	*/
	/**
	Whether the configuration in force is the newest as far as can be told.
	*/
	readonly isCurrent: () => boolean;
	readonly isStoreNeeded: () => boolean;
	readonly close: () => void;
};
