/**
How long callers of each route wait when they first ask.
*/
export type WaitBaselines = {
	/**
	Records the wait that a request names and tells how much of the usual one its caller has spent on earlier tries, in
	milliseconds; 0 for a first try.
	*/
	readonly record: (route: string, waitMs: number) => number;
};
