/**
Planned replicas of a data centre, by kind.
*/
export type ReplicaPlan = {
	readonly dataCentre: string;
	readonly onDemand: number;
	readonly spot: number;
};
