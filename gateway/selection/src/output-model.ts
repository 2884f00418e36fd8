/**
Output tokens that requests are expected to generate, learned by class from how many chunks their answers had.
*/
export type OutputModel = {
	/**
	Expected output tokens of a request; at most its maximum, which is 0 if it states none.
	*/
	readonly estimate: (className: string, maximumTokens: number) => number;
	/**
	Records a whole answer.
	*/
	readonly record: (className: string, answer: {readonly chunks: number; readonly maximumTokens: number}) => void;
};
