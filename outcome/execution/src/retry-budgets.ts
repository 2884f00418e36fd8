/**
Budgets of retries by client account and pool, so that retries never amplify an overload.
*/
export type RetryBudgets = {
	readonly deposit: (account: string, pool: string) => void;
	/**
	Whether both budgets hold a retry.
	*/
	readonly canWithdraw: (account: string, pool: string) => boolean;
	/**
	Takes a retry out of both budgets; false when one of them has none left.
	*/
	readonly withdraw: (account: string, pool: string) => boolean;
};
