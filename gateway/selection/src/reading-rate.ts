/**
How fast the engines of a pool read prompts.
*/
export type ReadingRate = {
	readonly get: () => number;
	/**
	Records a prompt that took so long until its first token.
	*/
	readonly record: (tokens: number, milliseconds: number) => void;
};
