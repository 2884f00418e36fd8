import type {AnswerPage} from './answer-page.ts';

/**
Where an answer is read from: a log on this node, or one on another.
*/
export type AnswerSource = {
	readonly requestId: string;
	/**
	Waits until there is something past the offset, or the end.
	*/
	readonly read: (offset: number) => Promise<AnswerPage>;
	/**
	Tells that a reader comes or goes.
	*/
	readonly attach: () => void;
	readonly detach: () => void;
};
