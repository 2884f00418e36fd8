import type {Flow} from '@valvesaddle/exchange';
import type {AttemptAnswer} from './attempt-answer.ts';

/**
Takes the body of an attempt's answer: passes it on, or keeps it until it is whole.
*/
export type AnswerBody = {
	readonly add: (answer: AttemptAnswer, chunk: Uint8Array) => Flow;
	/**
	The attempt has ended, and holds nothing any more.
	*/
	readonly release: () => void;
};
