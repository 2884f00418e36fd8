/**
Options of `createAnswerLog`.
*/
export type AnswerLogOptions = {
	readonly requestId: string;
	readonly account: string;
	/**
	Called when the last reader has been gone for the grace time and the answer has not ended.
	*/
	readonly onAbandoned: () => void;
	readonly graceMs: number;
};
