/**
An order that sets the number of a pool's replicas in a data centre.
*/
export type ReplicaOrder = {
	readonly pool: string;
	readonly dataCentre: string;
	/**
	Whether it is for spot replicas; all those of a data centre may be reclaimed at once.
	*/
	readonly isSpot: boolean;
	readonly count: number;
};
