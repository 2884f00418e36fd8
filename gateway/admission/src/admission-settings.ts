/**
Bounds of admission.
*/
export type AdmissionSettings = {
	/**
	Predicted time to the first token, in what is left of the objective, over which a request is not sent ahead of others.
	Predicted and true times of played drafts were 747 and 853 ms on average in the highest fifth, so some leeway is left.
	*/
	readonly lateFactor: number;
	/**
	Wait for others, in objectives, over which a late request is refused, whatever its own size.
	*/
	readonly waitFactor: number;
	/**
	Time to come back, in predicted times to the first token.
	*/
	readonly retryAfterFactor: number;
};
