/**
Replicas that serve, by data centre and kind.
*/
export type ReplicaCount = {
	readonly dataCentre: string;
	readonly isSpot: boolean;
	readonly count: number;
};
