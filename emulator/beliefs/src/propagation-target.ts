/**
A node by its role when a fault starts: a relay that watches the store (`follower`), another relay, or a member.
*/
export type PropagationTarget = {
	readonly role: 'follower' | 'relay' | 'member';
	/**
	Index among the nodes of that role.
	*/
	readonly nth: number;
};
