/**
Retry budgets by client account and pool, so that retries do not amplify an overload.
*/
export type RetryBudgets = {
	readonly deposit: (account: string, pool: string) => void;
	/**
	Whether both budgets allow a retry.
	*/
	readonly canWithdraw: (account: string, pool: string) => boolean;
	/**
	Withdraws a retry from both budgets; false when one of them is exhausted.
	*/
	readonly withdraw: (account: string, pool: string) => boolean;
};
