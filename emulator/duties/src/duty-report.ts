/**
Result of a run.
*/
export type DutyReport = {
	/**
	Descriptions of the violated rules.
	*/
	readonly violations: readonly string[];
	readonly calls: number;
	/**
	Number of times that a node acquired the duties.
	*/
	readonly holders: number;
	/**
	Longest time without an accepted usage report, up to the last one, in milliseconds.
	*/
	readonly longestGapMs: number;
};
