/**
Estimates of the wait that the callers of each route allow on their first attempt.
*/
export type WaitBaselines = {
	/**
	Records the wait that a request allows. Returns how much less it is than the baseline, which its caller has spent on earlier
	attempts, in milliseconds; 0 for a first attempt.
	*/
	readonly record: (route: string, waitMs: number) => number;
};
