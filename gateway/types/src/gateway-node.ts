/**
A gateway node's registration.
*/
export type GatewayNode = {
	/**
	Unique for each start of the process.
	*/
	readonly id: string;
	/**
	`ip:port` that peers connect to.
	*/
	readonly address: string;
	/**
	Secret that peers present to this node.
	*/
	readonly token: string;
	readonly dataCentre: string;
	/**
	Relative capacity for relaying messages between nodes; 1 is one reference core. Nodes with more are preferred as relays.
	*/
	readonly capacity: number;
};
