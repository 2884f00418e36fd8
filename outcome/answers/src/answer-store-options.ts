/**
Options of `createAnswerStore`.
*/
export type AnswerStoreOptions = {
	/**
	Time for which an ended answer is kept, in milliseconds.
	*/
	readonly retentionMs: number;
	/**
	Most characters kept in ended answers; the oldest go first.
	*/
	readonly maximumCharacters: number;
};
