/**
A gateway node as it registered itself for its peers.
*/
export type GatewayNode = {
	/**
	New at each start of the process.
	*/
	readonly id: string;
	/**
	`ip:port` for peers.
	*/
	readonly address: string;
	/**
	Secret that peers present to this node.
	*/
	readonly token: string;
	readonly dataCentre: string;
	/**
	What it can carry for the fleet, as a share of a usual core; the stronger nodes of a data centre carry more.
	*/
	readonly capacity: number;
};
