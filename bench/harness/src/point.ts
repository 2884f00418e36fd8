/**
One measured point.
*/
export type Point = {
	readonly x: number;
	readonly y: number;
};
