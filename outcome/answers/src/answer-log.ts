import type {AnswerEnd} from './answer-end.ts';
import type {AnswerSource} from './answer-source.ts';

/**
Answer to one request as received so far, written by the request's execution.
*/
export type AnswerLog = AnswerSource & {
	readonly account: string;
	readonly append: (part: string) => void;
	readonly finish: (end: AnswerEnd) => void;
	readonly end: () => AnswerEnd | undefined;
	/**
	Like `read`, but returns an empty page after `waitMs` milliseconds without an update.
	*/
	readonly readWithin: (offset: number, waitMs: number) => ReturnType<AnswerSource['read']>;
	/**
	Time when the answer ended, in milliseconds on the monotonic clock.
	*/
	readonly endedAt: () => number | undefined;
	/**
	Size in characters.
	*/
	readonly size: () => number;
};
