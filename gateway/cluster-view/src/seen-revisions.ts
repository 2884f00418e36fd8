/**
Highest revision seen under each key, for the keys seen most recently.
*/
export type SeenRevisions = {
	/**
	Adds a revision; returns whether it is higher than all earlier ones of the key.
	*/
	readonly add: (key: string, revision: number) => boolean;
};
