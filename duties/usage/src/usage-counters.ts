import type {UsageRow} from './usage-row.ts';

/**
What a node knows of the requests that began to run, by window, client account and the process that counted them.
*/
export type UsageCounters = {
	/**
	Counts a request of this process; returns its row.
	*/
	readonly count: (window: number, account: string) => UsageRow;
	/**
	Takes over what others counted; of two counts of the same the higher one is the later. Returns what was new.
	*/
	readonly merge: (rows: readonly UsageRow[]) => readonly UsageRow[];
	/**
	All rows, for a node that has heard nothing yet.
	*/
	readonly list: () => readonly UsageRow[];
	/**
	The sums of a window by client account.
	*/
	readonly sum: (window: number) => Readonly<Record<string, number>>;
	/**
	Forgets windows before this one.
	*/
	readonly removeBefore: (window: number) => void;
};
