/**
State of an endpoint that was ejected on the evidence of all nodes. Times are in milliseconds on the monotonic clock.
*/
export type Ejection = {
	/**
	`out` gets no requests, `probing` one at a time.
	*/
	readonly state: 'out' | 'probing';
	readonly until: number;
	/**
	Consecutive ejections, this one included.
	*/
	readonly count: number;
};
