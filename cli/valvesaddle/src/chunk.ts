/**
What a part of the program exports.
*/
export type Chunk = {
	/**
	Runs a command; resolves to the exit code.
	*/
	readonly run: (words: readonly string[]) => Promise<number>;
};
