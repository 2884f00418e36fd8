/**
Reads the cluster state from peers.
*/
export type StateFetcher = {
	/**
	Whether a peer may be called: no call is within its answer timeout, and the delay since the last call to this peer is over.
	*/
	readonly canRead: (node: string) => boolean;
	/**
	Requests the entries newer than this node's revision, or all: a peer may have a different state at the same revision.
	*/
	readonly startRead: (node: string, what: 'newer' | 'all') => void;
};
