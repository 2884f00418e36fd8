import type {AnswerEnd} from './answer-end.ts';
import type {AnswerSource} from './answer-source.ts';

/**
The answer to one request as far as it came; the request's execution writes it.
*/
export type AnswerLog = AnswerSource & {
	readonly account: string;
	readonly append: (part: string) => void;
	readonly finish: (end: AnswerEnd) => void;
	readonly end: () => AnswerEnd | undefined;
	/**
	Like `read`, but returns empty-handed after a time.
	*/
	readonly readWithin: (offset: number, waitMs: number) => ReturnType<AnswerSource['read']>;
	/**
	When it ended, in milliseconds since the epoch.
	*/
	readonly endedAt: () => number | undefined;
	/**
	Size in characters.
	*/
	readonly size: () => number;
};
