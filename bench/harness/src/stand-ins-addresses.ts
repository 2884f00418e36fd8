/**
Where a process of stand-ins listens.
*/
export type StandInsAddresses = {
	readonly kv: string;
	readonly vmList: string;
	readonly service: string;
	readonly engines: readonly string[];
};
