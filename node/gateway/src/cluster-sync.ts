import type {ClusterState} from '@valvesaddle/cluster-view';

/**
Exchange of the cluster state with peers.
*/
export type ClusterSync = {
	readonly sendHeartbeat: () => void;
	/**
	Applies a peer's message; throws `ZodError` if it is malformed.
	*/
	readonly applyHeartbeat: (parameters: unknown, node: string) => void;
	readonly applyChanges: (parameters: unknown, node: string) => void;
	/**
	Delay of a node's last heartbeat above the quickest one on its link, in milliseconds.
	*/
	readonly getDelay: (node: string) => number;
	/**
	The cluster state of this node, for a peer that requests it.
	*/
	readonly exportState: (parameters: unknown) => ClusterState;
	/**
	Whether the configuration in use is the newest as far as this node can tell: the store was confirmed recently, and no newer
	version is known.
	*/
	readonly isCurrent: () => boolean;
	/**
	Whether this node has to watch the store itself, as a follower for others or because no peer has confirmed the store recently.
	*/
	readonly isStoreNeeded: () => boolean;
};
