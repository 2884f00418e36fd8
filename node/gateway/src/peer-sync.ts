/**
Tells peers of the node's work and beliefs, and learns of theirs.
*/
export type PeerSync = {
	readonly start: () => void;
	/**
	Whether this node has to watch the store itself.
	*/
	readonly isStoreNeeded: () => boolean;
	readonly close: () => void;
};
