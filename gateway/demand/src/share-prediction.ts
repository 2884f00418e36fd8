/**
What is predicted for a request, in milliseconds.
*/
export type SharePrediction = {
	/**
	Time to the first token at the best endpoint.
	*/
	readonly costMs: number;
	/**
	Part of it that is the prefill of the request's own prompt.
	*/
	readonly readMs: number;
	readonly objectiveMs: number;
};
