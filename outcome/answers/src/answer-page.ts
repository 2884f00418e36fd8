import type {AnswerEnd} from './answer-end.ts';

/**
Part of an answer: its deltas from an offset on, and the end once it is reached.
*/
export type AnswerPage = {
	/**
	Deltas as JSON texts, in order.
	*/
	readonly parts: readonly string[];
	readonly end: AnswerEnd | undefined;
};
