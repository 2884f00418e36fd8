/**
Waits for a sign of life, and is told of each one.
*/
export type ProgressTimer = {
	/**
	Begins to wait anew, for so many milliseconds.
	*/
	readonly start: (milliseconds: number) => void;
	readonly stop: () => void;
};
