/**
Estimates the answer length of each class, in tokens.
*/
export type LengthModel = {
	readonly record: (className: string, tokens: number) => void;
	/**
	Expected total length of an answer that already has `tokensSoFar` tokens.
	*/
	readonly expect: (className: string, tokensSoFar: number) => number;
};
