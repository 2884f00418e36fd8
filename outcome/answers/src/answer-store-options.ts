/**
Options of `createAnswerStore`.
*/
export type AnswerStoreOptions = {
	/**
	Time for which an ended answer is kept, in milliseconds.
	*/
	readonly keepMs: number;
	/**
	Most characters kept in ended answers; the oldest go first.
	*/
	readonly keepSize: number;
};
