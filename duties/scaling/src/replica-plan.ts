/**
Replicas that a data centre shall run, by kind.
*/
export type ReplicaPlan = {
	readonly dataCentre: string;
	readonly onDemand: number;
	readonly spot: number;
};
