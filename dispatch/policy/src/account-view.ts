/**
What fairness needs to know of one client account within a class.
*/
export type AccountView = {
	readonly account: string;
	readonly waiting: number;
	/**
	Tokens served, divided by the weight.
	*/
	readonly virtualTokens: number;
};
