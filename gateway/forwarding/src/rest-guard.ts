import type {AttemptAnswer} from './attempt-answer.ts';

/**
Bounds the rest of an answer that is none for the caller.
*/
export type RestGuard = {
	/**
	The head of the answer has arrived.
	*/
	readonly start: (answer: AttemptAnswer) => void;
	/**
	A chunk of its body was added.
	*/
	readonly check: (answer: AttemptAnswer) => void;
	readonly stop: () => void;
};
