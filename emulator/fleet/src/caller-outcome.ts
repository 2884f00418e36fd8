/**
How a caller's request ended, over all its attempts.
*/
export type CallerOutcome = {
	readonly className: string;
	/**
	Time of the first attempt, in milliseconds.
	*/
	readonly startedAt: number;
	readonly end: 'inTime' | 'firstLate' | 'pauseLate' | 'refused' | 'failed' | 'abandoned';
	/**
	How a failed request failed: its answer was broken off, or it was refused with a status. `undefined` if it did not fail.
	*/
	readonly failure: 'cut' | number | undefined;
	readonly wasRefused: boolean;
	readonly owed: number;
	readonly earned: number;
};
