/**
Part of a pool that an account has in the routes of one priority, in tokens within the window, over all nodes.
*/
export type AccountShare = {
	readonly shareTokens: number;
	readonly askedTokens: number;
	readonly returnedTokens: number;
};
