import type {AnswerEnd} from '@valvesaddle/answers';

/**
Execution of one request.
*/
export type Execution = {
	/**
	Runs the request to its end.
	*/
	readonly run: () => Promise<AnswerEnd>;
};
