/**
What a node knows of an attempt that it suspects. Times are in milliseconds.
*/
export type Suspicion = {
	/**
	Whether its endpoint counts as stalled; otherwise a progress timeout has expired.
	*/
	readonly isStalled: boolean;
	/**
	Whether the answer has begun.
	*/
	readonly hasStarted: boolean;
	/**
	Time since the attempt's last chunk, or since it was opened.
	*/
	readonly silentMs: number;
	/**
	Silence after which the attempt is overdue by itself.
	*/
	readonly overdueMs: number;
	/**
	Time since the endpoint's last chunk for another request of the node; `Infinity` without one.
	*/
	readonly othersSilentMs: number;
	/**
	Predicted time to the first chunk of a new attempt at this endpoint, an upper bound for what is left, and at the next one.
	*/
	readonly hereMs: number;
	readonly nextMs: number;
};
