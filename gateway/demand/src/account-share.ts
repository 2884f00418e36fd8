/**
Part of a pool that an account has in the routes of one priority, in tokens within the window, over all nodes.
*/
export type AccountShare = {
	readonly shareTokens: number;
	readonly askedTokens: number;
	readonly returnedTokens: number;
	/**
	Whether a less urgent class waits and is served less than its share. Endpoints read strictly by urgency, so what this class asks beyond
	its share would keep that one from being served, also behind others of its own class.
	*/
	readonly isCrowding: boolean;
};
