/**
What one claimant of a capacity asks for, in the capacity's unit; `Infinity` for all that it can get.
*/
export type ShareDemand = {
	readonly name: string;
	readonly demand: number;
	/**
	Positive; with twice the weight, a claimant gets twice as much while both want more.
	*/
	readonly weight: number;
};
