import type {UsageRow} from './usage-row.ts';

/**
Grow-only counters of started requests, by window, client account and the process that counted them.
*/
export type UsageCounters = {
	/**
	Counts a request of this process; returns the updated row.
	*/
	readonly count: (window: number, account: string) => UsageRow;
	/**
	Merges rows of other processes and returns those that changed a count. Of two counts with the same key the higher one is later.
	*/
	readonly merge: (rows: readonly UsageRow[]) => readonly UsageRow[];
	/**
	All rows, for a peer that has received none yet.
	*/
	readonly list: () => readonly UsageRow[];
	/**
	The totals of a window, by client account.
	*/
	readonly sum: (window: number) => Readonly<Record<string, number>>;
	/**
	Removes the windows before this one.
	*/
	readonly removeBefore: (window: number) => void;
};
