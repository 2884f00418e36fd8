/**
Proof that a node was connected to the store without a gap.
*/
export type Confirmation = {
	/**
	The node that was connected, and the number of its confirmation, which increases.
	*/
	readonly by: string;
	readonly number: number;
};
