import type {AnswerLog} from './answer-log.ts';

/**
Answers on a node: open ones, and ended ones for a limited time.
*/
export type AnswerStore = {
	readonly add: (log: AnswerLog) => void;
	readonly find: (requestId: string) => AnswerLog | undefined;
	/**
	Request IDs of the open answers.
	*/
	readonly openIds: () => readonly string[];
	readonly close: () => void;
};
