/**
Compares the version of the node's configuration with those of its peers.
*/
export type VersionWatch = {
	/**
	Version of this node's configuration; `noVersion` while it has none.
	*/
	readonly get: () => number;
	/**
	Records the version of a peer.
	*/
	readonly record: (version: number) => void;
	/**
	Whether a peer has a newer version.
	*/
	readonly isBehind: () => boolean;
	/**
	Time since a newer version was first recorded, in milliseconds; 0 when there is none.
	*/
	readonly measureBehind: () => number;
};
