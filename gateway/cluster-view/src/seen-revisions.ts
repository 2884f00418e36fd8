/**
Highest revisions that were met under each key, of the keys met last.
*/
export type SeenRevisions = {
	/**
	Notes a revision; tells whether it is higher than all before it under the key.
	*/
	readonly add: (key: string, revision: number) => boolean;
};
