import type {GrantEntry} from './grant-entry.ts';

/**
The open grants of a pool; counts them at their endpoints.
*/
export type GrantTable = {
	readonly add: (entry: GrantEntry) => void;
	readonly find: (grantId: string) => GrantEntry | undefined;
	readonly findByRequest: (requestId: string) => GrantEntry | undefined;
	/**
	Replaces an entry by one with the same ids.
	*/
	readonly replace: (entry: GrantEntry) => void;
	readonly remove: (grantId: string) => GrantEntry | undefined;
	/**
	Notes a sign of life of a node, which renews all its grants for a lease.
	*/
	readonly renewNode: (node: string, now: number) => void;
	/**
	Removes the grants whose node was silent for a lease, or did not name them for many leases although it was heard;
	returns how many.
	*/
	readonly removeStale: (now: number) => number;
	readonly size: () => number;
};
