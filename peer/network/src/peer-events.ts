/**
What a peer network tells.
*/
export type PeerEvents = {
	/**
	A link to this node opened.
	*/
	readonly found: {readonly node: string};
	/**
	The last link to this node broke; calls that waited on it failed.
	*/
	readonly lost: {readonly node: string};
};
