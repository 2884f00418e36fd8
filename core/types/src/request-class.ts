/**
A class of requests: its latency target and its place among the others.
*/
export type RequestClass = {
	readonly name: string;
	/**
	0 is the most urgent; passed on to engines as their priority.
	*/
	readonly priority: number;
	/**
	Urgent classes go strictly before all others, in order of `priority`.
	*/
	readonly urgent: boolean;
	/**
	Target for the first token (or the whole reply of a plain service), in milliseconds.
	*/
	readonly firstTokenTargetMs: number;
	/**
	Longest time in the queue before a final refusal, in milliseconds.
	*/
	readonly maximumWaitMs: number;
	/**
	Share among the classes that are not urgent.
	*/
	readonly weight: number;
	/**
	Part of all grants that the class gets while it waits, 0 to 0.3.
	*/
	readonly floor: number;
};
