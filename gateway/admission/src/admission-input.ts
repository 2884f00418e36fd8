/**
What the admission of a request depends on. Times are in milliseconds.
*/
export type AdmissionInput = {
	/**
	Predicted time to the first token at the best endpoint, if the request is sent ahead of lower ranks.
	*/
	readonly predictedMs: number;
	/**
	Part of it that is the prefill of the request's own prompt.
	*/
	readonly readMs: number;
	/**
	Latency objective of the route.
	*/
	readonly objectiveMs: number;
	/**
	Time since the caller's first attempt.
	*/
	readonly elapsedMs: number;
	/**
	Whether the caller has made an earlier attempt.
	*/
	readonly isRetry: boolean;
	/**
	Random number from 0 up to 1 that spreads the retries of refused callers.
	*/
	readonly draw: number;
	/**
	Where requests may wait at the node; without it, they are sent or refused at once.
	*/
	readonly waiting?: {
		/**
		Whether it cannot be sent now: all endpoints are full, or others wait that go first.
		*/
		readonly mustWait: boolean;
		/**
		Predicted time until an endpoint has a free slot and those that wait before it are sent; 0 if one is free.
		*/
		readonly roomInMs: number;
		/**
		Whether the request is of the most urgent class, or was promised to be served.
		*/
		readonly isUrgent: boolean;
		readonly isPromised: boolean;
		/**
		Plans after how long a refused caller comes back, if there is room after this time.
		*/
		readonly planReturnMs: (roomInMs: number) => number;
	};
};
