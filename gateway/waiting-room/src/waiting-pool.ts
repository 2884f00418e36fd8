import type {Waiter} from './waiter.ts';
import type {WaitingEntry} from './waiting-entry.ts';

/**
The requests that wait for one pool.
*/
export type WaitingPool = {
	readonly push: (entry: WaitingEntry) => void;
	readonly remove: (entry: WaitingEntry) => void;
	/**
	The requests that may be sent next, in their order: of each class those of the accounts that are next.
	*/
	readonly listNext: () => readonly WaitingEntry[];
	/**
	Records that a request was sent, and removes it.
	*/
	readonly markSent: (entry: WaitingEntry) => void;
	/**
	Decides for each request whether it goes on waiting; returns the others with the reason, and the time until there is room.
	*/
	readonly listWithdrawn: () => ReadonlyArray<{readonly entry: WaitingEntry; readonly roomInMs: number}>;
	/**
	The request of an account that may be dropped for others; `undefined` if all are urgent or promised.
	*/
	readonly findDroppable: (account: string) => WaitingEntry | undefined;
	/**
	Predicted milliseconds until a request is sent, after so many of its own account and class, and `roomInMs` until there is room.
	*/
	readonly predictMs: (waiter: Pick<Waiter, 'className' | 'rank' | 'account'>, roomInMs: number, accountAhead?: number) => number;
	/**
	Mean milliseconds between two requests that could be sent while some waited.
	*/
	readonly getIntervalMs: () => number;
	readonly count: () => number;
};
