/**
A write under a condition.
*/
export type EntryWrite = {
	readonly key: string;
	readonly text: string;
	/**
	Revision that the entry must have; 0 when there must be none.
	*/
	readonly expected: number;
	/**
	Lease with which the entry ends; none when it stays.
	*/
	readonly lease?: string;
	/**
	Entries that are removed with the write.
	*/
	readonly removed?: readonly string[];
};
