/**
What membership tells.
*/
export type MembershipEvents = {
	/**
	The routers in use, or the leaving endpoints, are not the same as before.
	*/
	readonly changed: undefined;
};
