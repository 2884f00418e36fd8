/**
Number of ready replicas of one kind in a data centre.
*/
export type ReplicaCount = {
	readonly dataCentre: string;
	readonly isSpot: boolean;
	readonly count: number;
};
