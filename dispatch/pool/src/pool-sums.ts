/**
Sums over the endpoints of a pool.
*/
export type PoolSums = {
	/**
	Limits of the endpoints in use.
	*/
	readonly slots: number;
	readonly inFlight: number;
	readonly urgentInFlight: number;
	/**
	Endpoints in use.
	*/
	readonly live: number;
};
