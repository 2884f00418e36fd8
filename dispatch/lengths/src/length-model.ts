/**
Learns how long answers of each class are, in tokens.
*/
export type LengthModel = {
	readonly record: (className: string, tokens: number) => void;
	/**
	Expected whole length of an answer that has `tokensSoFar` tokens already.
	*/
	readonly expect: (className: string, tokensSoFar: number) => number;
};
