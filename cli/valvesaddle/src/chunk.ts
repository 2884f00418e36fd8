/**
Exports of a chunk of the program.
*/
export type Chunk = {
	/**
	Runs a command; resolves to the exit code.
	*/
	readonly run: (argv: readonly string[]) => Promise<number>;
};
