/**
A request as it reached an endpoint, whether it ran or not.
*/
export type Arrival = {
	readonly id: string;
	readonly endpoint: string;
	/**
	Milliseconds since the start of the run.
	*/
	readonly at: number;
};
