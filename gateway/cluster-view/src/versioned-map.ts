/**
Entries with the revision that last changed them. Removals leave a tombstone, so that an older entry isn't restored. If values have
an order of their own, it takes precedence over the revision.
*/
export type VersionedMap<Value> = {
	readonly get: (id: string) => Value | undefined;
	readonly values: () => readonly Value[];
	readonly entries: () => ReadonlyArray<{readonly value: Value; readonly revision: number}>;
	/**
	Sets an entry unless the map has a newer one; returns whether it was set.
	*/
	readonly set: (id: string, value: Value, revision: number) => boolean;
	/**
	Removes an entry unless the map has a newer revision; returns whether there was an entry.
	*/
	readonly remove: (id: string, revision: number) => boolean;
	/**
	Tombstones of removed entries, only the newest if there are many.
	*/
	readonly tombstones: () => ReadonlyArray<{readonly id: string; readonly revision: number}>;
	/**
	Whether these tombstones include all removals after a revision.
	*/
	readonly hasTombstonesSince: (revision: number) => boolean;
	/**
	Digest of all ids with their revisions; equal for maps with the same entries.
	*/
	readonly digest: () => number;
	/**
	Ids of entries that are not listed and not newer than the revision.
	*/
	readonly listMissing: (listed: ReadonlySet<string>, revision: number) => readonly string[];
};
