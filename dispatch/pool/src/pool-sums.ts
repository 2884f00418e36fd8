/**
Sums over the endpoints of a pool.
*/
export type PoolSums = {
	/**
	Limits of the live endpoints.
	*/
	readonly slots: number;
	readonly inFlight: number;
	readonly urgentInFlight: number;
	/**
	Number of live endpoints.
	*/
	readonly live: number;
};
