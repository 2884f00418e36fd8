/**
Measures when the chunks of an answer arrive.
*/
export type ChunkTimer = {
	readonly record: () => void;
	/**
	Number of chunks so far.
	*/
	readonly chunks: () => number;
	/**
	Milliseconds from the request's arrival to the first chunk; `undefined` before it.
	*/
	readonly firstMs: () => number | undefined;
	/**
	Longest time between two chunks, in milliseconds.
	*/
	readonly longestPauseMs: () => number;
};
