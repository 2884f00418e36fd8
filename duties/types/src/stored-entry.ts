/**
An entry of the store, with the revision of its last change.
*/
export type StoredEntry = {
	readonly text: string;
	readonly revision: number;
};
