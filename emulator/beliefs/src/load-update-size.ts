/**
Size of each load update that a node sends.
*/
export type LoadUpdateSize = {
	/**
	Number of endpoint loads.
	*/
	readonly loads: number;
	/**
	Number of placements.
	*/
	readonly placements: number;
};
