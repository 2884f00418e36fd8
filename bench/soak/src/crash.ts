/**
The end of an endpoint's process under a request, by the request's path.
*/
export type Crash = {
	readonly path: string;
	readonly endpoint: string;
	/**
	Milliseconds since the start of the run.
	*/
	readonly at: number;
};
