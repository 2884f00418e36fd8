/**
A conditional write (compare-and-set).
*/
export type EntryWrite = {
	readonly key: string;
	readonly text: string;
	/**
	Revision that the entry must have; 0 when it must not exist.
	*/
	readonly expected: number;
	/**
	Lease that the entry expires with; without one the entry is permanent.
	*/
	readonly lease?: string;
	/**
	Keys of entries that are removed in the same transaction.
	*/
	readonly removed?: readonly string[];
};
