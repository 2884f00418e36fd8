/**
A figure over the seeds of a variant.
*/
export type Spread = {
	readonly mean: number;
	readonly least: number;
	readonly most: number;
	/**
	By seed.
	*/
	readonly values: readonly number[];
};
