/**
Data delivered for a request so far, over all attempts.
*/
export type Progress = {
	text: string;
	tokens: number;
	/**
	Whether all parts were plain text, so that another endpoint can continue the answer.
	*/
	isPlainText: boolean;
	/**
	Time of the first token, in milliseconds on the monotonic clock.
	*/
	firstTokenAt: number | undefined;
};
