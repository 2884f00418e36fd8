/**
What a run of duties showed.
*/
export type DutyReport = {
	/**
	Rules that were broken, in words.
	*/
	readonly violations: readonly string[];
	readonly calls: number;
	readonly holders: number;
	/**
	Longest time without an accepted report, in milliseconds.
	*/
	readonly longestGapMs: number;
};
