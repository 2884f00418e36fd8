/**
Bounds of admission.
*/
export type AdmissionSettings = {
	/**
	Predicted time to the first token, in what is left of the objective, over which a request is not sent ahead of others: so
	far off are predictions.
	*/
	readonly lateFactor: number;
	/**
	Time to come back, in predicted times to the first token.
	*/
	readonly returnFactor: number;
};
