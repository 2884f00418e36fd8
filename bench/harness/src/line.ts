/**
A line fitted through measured points.
*/
export type Line = {
	readonly slope: number;
	readonly intercept: number;
	/**
	Root mean square of the points' distances from the line.
	*/
	readonly error: number;
};
