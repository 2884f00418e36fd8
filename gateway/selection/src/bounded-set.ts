/**
Names, of which only those that were added last are kept.
*/
export type BoundedSet = {
	readonly add: (name: string) => void;
	readonly has: (name: string) => boolean;
	readonly remove: (name: string) => void;
};
