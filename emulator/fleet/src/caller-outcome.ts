/**
How a caller's request ended, over all its tries.
*/
export type CallerOutcome = {
	readonly className: string;
	/**
	Time at which the caller first asked, in milliseconds.
	*/
	readonly startedAt: number;
	readonly end: 'inTime' | 'firstLate' | 'pauseLate' | 'refused' | 'failed' | 'abandoned';
	readonly wasRefused: boolean;
	readonly owed: number;
	readonly earned: number;
};
