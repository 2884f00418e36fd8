/**
A node's part in the duties that one node at a time fulfils.
*/
export type DutyTask = {
	readonly start: () => void;
	/**
	Hands over what this node holds.
	*/
	readonly close: () => Promise<void>;
};
