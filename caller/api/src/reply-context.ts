import type {ServerResponse} from 'node:http';
import type {AnswerSource} from '@valvesaddle/answers';

/**
Input of the reply writers.
*/
export type ReplyContext = {
	readonly response: ServerResponse;
	readonly source: AnswerSource;
	readonly model: string;
	/**
	Number of parts that the caller already has.
	*/
	readonly offset: number;
	/**
	Whether the caller has disconnected.
	*/
	readonly isDisconnected: () => boolean;
};
