/**
Options of `createAnswerLog`.
*/
export type AnswerLogOptions = {
	readonly requestId: string;
	readonly account: string;
	/**
	Called when an open answer has had no reader for `graceMs` after its last one detached.
	*/
	readonly onAbandoned: () => void;
	readonly graceMs: number;
};
