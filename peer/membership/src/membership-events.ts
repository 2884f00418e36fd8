/**
Events of a membership.
*/
export type MembershipEvents = {
	/**
	The usable routers or the draining endpoints changed.
	*/
	readonly changed: undefined;
};
