/**
Addresses on which a gateway node listens.
*/
export type GatewayAddresses = {
	readonly callers: string;
	readonly ready: string;
	readonly peers: string;
};
