/**
Options of `createAnswerStore`.
*/
export type AnswerStoreOptions = {
	/**
	Time for which an ended answer is kept, in milliseconds.
	*/
	readonly retentionMs: number;
	/**
	Maximum number of characters kept in ended answers; the oldest are removed first.
	*/
	readonly maximumCharacters: number;
};
