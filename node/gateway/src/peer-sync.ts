/**
Tells peers of the node's work and beliefs, and learns of theirs.
*/
export type PeerSync = {
	readonly start: () => void;
	readonly close: () => void;
};
