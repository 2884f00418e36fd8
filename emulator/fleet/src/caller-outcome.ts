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
	readonly wasRefused: boolean;
	readonly owed: number;
	readonly earned: number;
};
