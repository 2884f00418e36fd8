/**
A lognormal size: its mean, the spread of its logarithm, and its bound.
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
	Tokens of a request's own part, and its shared parts: each is drawn from so many subjects, the first ones more often.
	*/
	readonly own: Size;
	readonly shared: ReadonlyArray<Size & {readonly subjects: number}>;
	readonly events: Size;
	/**
	Worth of an answer in time and of a late one.
	*/
	readonly worth: number;
	readonly lateWorth: number;
	/**
	How often a caller comes back after a refusal.
	*/
	readonly retries: number;
};
