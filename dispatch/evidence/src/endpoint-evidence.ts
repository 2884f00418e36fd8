/**
What requests have shown of an endpoint in the last second or so: of one node's requests, or a sum over several nodes. Counts decay,
so they need not be whole.
*/
export type EndpointEvidence = {
	/**
	Requests that the endpoint answered, also with an error.
	*/
	readonly answers: number;
	/**
	Those that it answered with an error.
	*/
	readonly failures: number;
	/**
	Answers whose time was measured, and the sum of these times without waiting for a place, in milliseconds: its pace.
	*/
	readonly timedAnswers: number;
	readonly serviceMs: number;
};
