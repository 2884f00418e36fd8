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
	Removes the grants that were not renewed since the given time; returns how many.
	*/
	readonly removeStale: (renewedBefore: number) => number;
	readonly size: () => number;
};
