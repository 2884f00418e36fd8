/**
Names of incarnations that are known to be gone, of those that went last.
*/
export type OutdatedNames = {
	readonly add: (incarnation: string) => void;
	readonly has: (incarnation: string) => boolean;
	/**
	Takes a name off, as an entry that was gone is back.
	*/
	readonly remove: (incarnation: string) => void;
};
