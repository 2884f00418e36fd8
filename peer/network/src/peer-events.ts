/**
Events of a peer network.
*/
export type PeerEvents = {
	/**
	A link to this node was opened.
	*/
	readonly found: {readonly node: string};
	/**
	The current link to this node was closed; its pending calls failed.
	*/
	readonly lost: {readonly node: string};
};
