/**
An answer in which an endpoint named the requests per second that it accepts from all nodes together.
*/
export type LimitNotice = {
	/**
	ID of the answered request.
	*/
	readonly id: string;
	readonly endpoint: string;
	/**
	Milliseconds since the start of the run.
	*/
	readonly at: number;
	readonly perSecond: number;
};
