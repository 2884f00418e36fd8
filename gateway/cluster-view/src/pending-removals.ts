import type {Removal} from './removal.ts';

/**
Keeps removals that may only mean that an entry lapsed while the store was away, until the entry has had time to come back.
*/
export type PendingRemovals = {
	/**
	Until that time, on the steady clock in milliseconds, removals are kept.
	*/
	readonly setUntil: (time: number) => void;
	/**
	Whether removals are kept now.
	*/
	readonly isOpen: () => boolean;
	readonly add: (removal: Removal) => void;
	/**
	Forgets a removal: its entry is back, or really gone.
	*/
	readonly remove: (id: string) => void;
	readonly count: () => number;
	readonly close: () => void;
};
