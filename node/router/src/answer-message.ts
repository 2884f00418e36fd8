import type {AnswerPage} from '@valvesaddle/answers';

/**
Part of an answer as one message between nodes holds it.
*/
export type AnswerMessage = AnswerPage & {
	/**
	Characters of a plain service's reply that are to be read after this message.
	*/
	readonly replyRest: number;
};
