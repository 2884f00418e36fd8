/**
Options of `createSelector`.
*/
export type SelectorOptions = {
	/**
	Prompts of more tokens are long.
	*/
	readonly longPromptTokens: number;
	/**
	Part of a pool's endpoints that takes long prompts while little is known of the demand.
	*/
	readonly longShare: number;
	/**
	Part of an engine's reading that short prompts may use, and long ones.
	*/
	readonly shortUse: number;
	readonly longUse: number;
	/**
	Part of an engine's slots that short prompts may use.
	*/
	readonly shortFillUse: number;
	/**
	Time over which the demand of the lanes is averaged, in milliseconds.
	*/
	readonly laneAverageMs: number;
	/**
	Delay for which a prompt leaves the endpoints that are meant for its length, in latency objectives of its route.
	*/
	readonly leaveLaneShare: number;
	/**
	Time within which reading a shared part again counts as waste, in milliseconds.
	*/
	readonly reuseMs: number;
	/**
	Milliseconds of delay that are borne to save one token from being read again.
	*/
	readonly rereadMsPerToken: number;
	/**
	Prompt tokens that an engine reads in a millisecond, until it is learned.
	*/
	readonly prefillTokensPerMs: number;
};
