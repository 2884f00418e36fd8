import type {GrantEntry} from './grant-entry.ts';

/**
Open grants of a pool. Each one counts as in flight at its endpoint.
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
	Renews the lease of all grants of a node that has sent a progress message.
	*/
	readonly renewNode: (node: string, now: number) => void;
	/**
	Removes the grants whose node has sent no progress message for a lease duration, or hasn't reported them in one for
	many lease durations; returns their number.
	*/
	readonly removeStale: (now: number) => number;
	readonly size: () => number;
};
