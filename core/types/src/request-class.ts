/**
A class of requests, with its latency target and scheduling priority.
*/
export type RequestClass = {
	readonly name: string;
	/**
	0 is the most urgent; passed on to engines as their priority.
	*/
	readonly priority: number;
	/**
	Urgent classes have strict priority over all others, in order of `priority`.
	*/
	readonly urgent: boolean;
	/**
	Target for the first token (or the whole reply of a plain service), in milliseconds.
	*/
	readonly firstTokenTargetMs: number;
	/**
	Maximum time in the queue before the request is refused, in milliseconds.
	*/
	readonly maximumWaitMs: number;
	/**
	Relative weight among the classes that are not urgent.
	*/
	readonly weight: number;
	/**
	Guaranteed fraction of all grants while requests of the class wait, 0 to 0.3.
	*/
	readonly floor: number;
};
