import type {ServerResponse} from 'node:http';
import type {AnswerSource} from '@valvesaddle/answers';

/**
What writing a reply needs.
*/
export type ReplyContext = {
	readonly response: ServerResponse;
	readonly source: AnswerSource;
	readonly model: string;
	/**
	Parts that the caller has already.
	*/
	readonly offset: number;
	/**
	Whether the caller is still there.
	*/
	readonly isDisconnected: () => boolean;
};
