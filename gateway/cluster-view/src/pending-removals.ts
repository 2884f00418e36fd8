import type {Removal} from './removal.ts';

/**
Removals after a store outage. The lease of an entry may only have expired during the outage, so its removal is held for a grace
period in which it can register again.
*/
export type PendingRemovals = {
	/**
	Sets the end of the grace period, in milliseconds on the monotonic clock.
	*/
	readonly setUntil: (time: number) => void;
	/**
	Whether the grace period is running.
	*/
	readonly isOpen: () => boolean;
	readonly add: (removal: Removal) => void;
	/**
	Drops a removal: its entry registered again, or its removal is confirmed.
	*/
	readonly remove: (id: string) => void;
	readonly count: () => number;
	readonly close: () => void;
};
