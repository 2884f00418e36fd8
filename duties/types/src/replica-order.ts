/**
An order to run a number of replicas.
*/
export type ReplicaOrder = {
	readonly pool: string;
	readonly dataCentre: string;
	/**
	Cheaper replicas that may be reclaimed, all of a data centre at once.
	*/
	readonly isSpot: boolean;
	readonly count: number;
};
