/**
A lognormal size: its mean, the standard deviation of its logarithm, and its maximum.
*/
type Size = {
	readonly mean: number;
	readonly spread: number;
	readonly maximum: number;
};

/**
Requests of one kind. Times are in milliseconds.
*/
export type CallerClass = {
	readonly name: string;
	/**
	Mean requests a second, over all nodes.
	*/
	readonly perSecond: number;
	readonly bursts: ReadonlyArray<{readonly atMs: number; readonly forMs: number; readonly factor: number}>;
	readonly objectiveMs: number;
	readonly pauseMs: number;
	readonly timeoutMs: number;
	readonly priority: number;
	readonly isResumable: boolean;
	readonly attempts: number;
	/**
	Prompt tokens of a request's own part and of its shared parts. Each shared part is drawn from a number of subjects, the first
	ones more often.
	*/
	readonly own: Size;
	readonly shared: ReadonlyArray<Size & {readonly subjects: number}>;
	readonly events: Size;
	/**
	Credit of a mean answer in time, and of a late one.
	*/
	readonly worth: number;
	readonly lateWorth: number;
	/**
	Maximum retries of a caller after refusals.
	*/
	readonly retries: number;
};
