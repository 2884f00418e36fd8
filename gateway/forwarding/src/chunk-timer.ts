/**
When the pieces of an answer came.
*/
export type ChunkTimer = {
	readonly record: () => void;
	/**
	Pieces so far.
	*/
	readonly chunks: () => number;
	/**
	Milliseconds from the request's arrival to the first piece; `undefined` before it.
	*/
	readonly firstMs: () => number | undefined;
	/**
	Longest time between two pieces, in milliseconds.
	*/
	readonly longestPauseMs: () => number;
};
