/**
Stand-in for the platform's balancer: picks a node that answers its readiness check.
*/
export type Balancer = {
	readonly pick: () => string;
	/**
	Notes that a node broke a connection.
	*/
	readonly markBroken: (address: string) => void;
	readonly close: () => void;
};
