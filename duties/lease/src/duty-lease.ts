/**
A node's lease on a duty.
*/
export type DutyLease = {
	/**
	Acquires the duty if it may be free and this node is a candidate, or renews its lease. A holder that has not been a candidate for
	longer than a lease releases it. Call it several times per lease duration; calls must not overlap.
	*/
	readonly update: (isCandidate: boolean) => Promise<void>;
	/**
	The fencing token while this node holds the duty. Read it right before each call, since the process may have been paused.
	*/
	readonly token: () => number | undefined;
	/**
	Records that the holder's entry was removed from the store.
	*/
	readonly markFree: () => void;
	/**
	Acquires a higher fencing token, so that calls with the previous one are refused; `undefined` on failure.
	*/
	readonly raiseToken: () => Promise<number | undefined>;
	/**
	Checks whether the store still names this node as the holder; if not, the duty counts as lost.
	*/
	readonly confirm: () => Promise<boolean>;
	/**
	Releases the duty, so that another node can acquire it at once; later updates do not acquire it again.
	*/
	readonly release: () => Promise<void>;
};
