/**
Who needs a retry.
*/
export type RetryNeed = {
	/**
	Priority of the request's route; 0 is the most urgent, and the default.
	*/
	readonly priority?: number;
	/**
	Whether the pool fails as a whole, so that there are too few retries for all: what more urgent routes have earned is left to them.
	*/
	readonly isScarce?: boolean;
};
