import type {UnreadAnswer} from './unread-answer.ts';

/**
Watches answers that wait for callers which read slowly or not at all.
*/
export type UnreadWatch = {
	/**
	Counts what an answer holds now, and watches it until nothing waits.
	*/
	readonly update: (answer: UnreadAnswer) => void;
	readonly remove: (answer: UnreadAnswer) => void;
};
