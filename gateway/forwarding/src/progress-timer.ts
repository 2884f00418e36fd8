/**
Timer that is restarted by each chunk of an answer.
*/
export type ProgressTimer = {
	/**
	Starts or restarts the timer with a timeout in milliseconds.
	*/
	readonly start: (milliseconds: number) => void;
	readonly stop: () => void;
};
