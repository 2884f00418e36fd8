/**
Set of names that keeps only those added last.
*/
export type BoundedSet = {
	readonly add: (name: string) => void;
	readonly has: (name: string) => boolean;
	readonly remove: (name: string) => void;
};
