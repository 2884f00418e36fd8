import type {UsageSync} from './usage-sync.ts';

/**
Tells peers of the node's work and beliefs, and learns of theirs.
*/
export type PeerSync = {
	readonly start: () => void;
	/**
	Whether the configuration in force is the newest as far as can be told.
	*/
	readonly isCurrent: () => boolean;
	/**
	Whether this node has to watch the store itself.
	*/
	readonly isStoreNeeded: () => boolean;
	/**
	Whether this node is one of those that watch the store for all.
	*/
	readonly isFollower: () => boolean;
	/**
	Counts of usage, where they are asked for.
	*/
	readonly usage: UsageSync | undefined;
	/**
	A request was placed: in a large fleet the node's relay is told soon.
	*/
	readonly sendPlacements: () => void;
	readonly close: () => void;
};
