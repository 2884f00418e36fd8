/**
Compares the version of the node's configuration with those that it hears of.
*/
export type VersionWatch = {
	/**
	Version of this node's configuration; `noVersion` while it has none.
	*/
	readonly get: () => number;
	/**
	Takes in the version that a peer has.
	*/
	readonly record: (version: number) => void;
	/**
	Whether a newer version than its own is known of.
	*/
	readonly isBehind: () => boolean;
	/**
	How long a newer version than its own has been known of, in milliseconds; 0 when there is none.
	*/
	readonly measureBehind: () => number;
};
