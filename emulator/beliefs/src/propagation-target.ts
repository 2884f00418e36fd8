/**
A node by what it does when a fault begins: a relay that follows the store, one that does not, or any other node.
*/
export type PropagationTarget = {
	readonly role: 'follower' | 'relay' | 'member';
	/**
	Place among the nodes of that role, from 0.
	*/
	readonly nth: number;
};
