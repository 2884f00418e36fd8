/**
Options of a load with pauses.
*/
export type PausesLoadOptions = {
	/**
	Whether it has bursts that the engines cannot serve in time.
	*/
	readonly isOverloaded: boolean;
	/**
	Seed of the pauses.
	*/
	readonly seed: number;
};
