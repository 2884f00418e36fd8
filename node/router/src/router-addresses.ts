/**
Addresses on which a node listens.
*/
export type RouterAddresses = {
	readonly callers: string;
	readonly peers: string;
	readonly operators: string;
};
