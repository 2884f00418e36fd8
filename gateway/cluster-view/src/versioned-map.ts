/**
Entries with the revision that last changed them. Removals leave a mark, so that an older entry does not come back. Where
values have an order of their own, it goes before the revision.
*/
export type VersionedMap<Value> = {
	readonly get: (id: string) => Value | undefined;
	readonly values: () => readonly Value[];
	readonly entries: () => ReadonlyArray<{readonly value: Value; readonly revision: number}>;
	/**
	Sets an entry unless a newer one is known; tells whether it did.
	*/
	readonly set: (id: string, value: Value, revision: number) => boolean;
	/**
	Removes an entry unless a newer revision is known; tells whether there was one.
	*/
	readonly remove: (id: string, revision: number) => boolean;
	/**
	Marks of entries that were removed, the newest of them when there are many.
	*/
	readonly tombstones: () => ReadonlyArray<{readonly id: string; readonly revision: number}>;
	/**
	Whether those marks hold all that was removed after a revision.
	*/
	readonly hasTombstonesSince: (revision: number) => boolean;
	/**
	Digest of all ids with their revisions; two maps with the same entries have the same.
	*/
	readonly digest: () => number;
	/**
	Ids of entries that are not listed and not newer than the revision.
	*/
	readonly listMissing: (listed: ReadonlySet<string>, revision: number) => readonly string[];
};
