/**
A node's part in holding a duty.
*/
export type DutyLease = {
	/**
	Takes the duty when it may be free, or renews it. One call at a time; to be called a few times within a lease.
	*/
	readonly update: (isCandidate: boolean) => Promise<void>;
	/**
	The fencing token while this node holds the duty; to be asked again right before each call, since the process may have stood
	still.
	*/
	readonly token: () => number | undefined;
	/**
	Notes that the entry of the holder is gone from the store.
	*/
	readonly markFree: () => void;
	/**
	Takes a higher token, so that calls with the one before are refused whenever they arrive; `undefined` when that failed.
	*/
	readonly raiseToken: () => Promise<number | undefined>;
	/**
	Whether the store still names this node as the holder; a node that it does not name stands aside.
	*/
	readonly confirm: () => Promise<boolean>;
	/**
	Hands the duty over: another node may take it at once.
	*/
	readonly release: () => Promise<void>;
};
