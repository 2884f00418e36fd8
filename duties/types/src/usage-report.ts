/**
Requests that began to run in a window of time, by client account.
*/
export type UsageReport = {
	/**
	Number of the window: it begins so many window lengths after the start of 1970.
	*/
	readonly window: number;
	readonly counts: Readonly<Record<string, number>>;
};
