/**
A node's part in the singleton duties.
*/
export type DutyTask = {
	readonly start: () => void;
	/**
	Releases the lease, so that another node can take over.
	*/
	readonly close: () => Promise<void>;
};
