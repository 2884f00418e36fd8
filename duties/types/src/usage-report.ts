/**
Number of requests that started in a time window, by client account.
*/
export type UsageReport = {
	/**
	Index of the window: its start in Unix time divided by the window length.
	*/
	readonly window: number;
	readonly counts: Readonly<Record<string, number>>;
};
