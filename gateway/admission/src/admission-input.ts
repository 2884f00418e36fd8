/**
What the admission of a request depends on. Times are in milliseconds.
*/
export type AdmissionInput = {
	/**
	Predicted time to the first token at the best endpoint, ahead of what ranks lower.
	*/
	readonly predictedMs: number;
	/**
	Part of it that is spent on reading the request's own prompt.
	*/
	readonly readMs: number;
	/**
	Latency objective of the route.
	*/
	readonly objectiveMs: number;
	/**
	Time since the caller first asked, its earlier tries included.
	*/
	readonly elapsedMs: number;
	/**
	Whether the caller has come back after an earlier try.
	*/
	readonly isRetry: boolean;
	/**
	Number from 0 up to 1 that spreads the times to come back.
	*/
	readonly draw: number;
};
