import type {AnswerEnd} from '@valvesaddle/answers';

/**
The execution of one request.
*/
export type Execution = {
	/**
	Runs it to its end.
	*/
	readonly run: () => Promise<AnswerEnd>;
};
