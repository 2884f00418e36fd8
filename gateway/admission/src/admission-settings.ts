/**
Limits of admission.
*/
export type AdmissionSettings = {
	/**
	Multiple of what is left of the objective up to which the predicted time to the first token counts as in time; above 1, since
	predictions are inexact: the highest fifth of them averaged 747 ms, and the true times 853 ms.
	*/
	readonly lateFactor: number;
	/**
	Multiple of the objective by the wait for other requests, above which a late request is refused; its own prefill is not counted.
	*/
	readonly waitFactor: number;
	/**
	Time after which a refused caller retries, as a multiple of the predicted time to the first token.
	*/
	readonly retryAfterFactor: number;
};
