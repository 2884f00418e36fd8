import type {ClusterState} from '@valvesaddle/cluster-view';

/**
Exchange of beliefs on the cluster with peers.
*/
export type ClusterSync = {
	readonly sendHeartbeat: () => void;
	/**
	Takes in a peer's message; throws `ZodError` for one of a wrong form.
	*/
	readonly applyHeartbeat: (parameters: unknown, node: string) => void;
	readonly applyChanges: (parameters: unknown, node: string) => void;
	/**
	What the last heartbeat of a node spent waiting on its way, in milliseconds.
	*/
	readonly getDelay: (node: string) => number;
	/**
	All that this node believes, for a peer that asks.
	*/
	readonly exportState: (parameters: unknown) => ClusterState;
	/**
	Whether the configuration in force is the newest as far as can be told: the store was confirmed of late, and no newer one is
	heard of.
	*/
	readonly isCurrent: () => boolean;
	/**
	Whether this node has to ask the store itself, as a follower for others or since no peer has confirmed anything of late.
	*/
	readonly isStoreNeeded: () => boolean;
};
