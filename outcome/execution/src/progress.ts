/**
What a request delivered so far, over all attempts.
*/
export type Progress = {
	text: string;
	tokens: number;
	/**
	Whether every part was plain text, so that another endpoint can go on from it.
	*/
	isPlainText: boolean;
	/**
	Time of the first token, in milliseconds since the epoch.
	*/
	firstTokenAt: number | undefined;
};
