import type {AnswerLog} from './answer-log.ts';

/**
The answers that a node holds: those under way, and ended ones for a while.
*/
export type AnswerStore = {
	readonly add: (log: AnswerLog) => void;
	readonly find: (requestId: string) => AnswerLog | undefined;
	/**
	Answers under way.
	*/
	readonly openIds: () => readonly string[];
	readonly close: () => void;
};
