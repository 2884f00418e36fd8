/**
State of a client account within a class, as the fair scheduler uses it.
*/
export type AccountView = {
	readonly account: string;
	readonly waiting: number;
	/**
	Tokens served, divided by the weight.
	*/
	readonly virtualTokens: number;
};
