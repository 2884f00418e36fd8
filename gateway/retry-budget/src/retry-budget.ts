/**
The part of a fleet's budget of second tries that one node may spend.
*/
export type RetryBudget = {
	/**
	Counts a caller's request for a pool.
	*/
	readonly earn: (pool: string) => void;
	/**
	Takes one second try; `false` when none is left in the window.
	*/
	readonly spend: (pool: string) => boolean;
};
