import type {AnswerPage} from './answer-page.ts';

/**
Source of an answer: a log on this node or on a peer.
*/
export type AnswerSource = {
	readonly requestId: string;
	/**
	Waits for parts after the offset or for the end.
	*/
	readonly read: (offset: number) => Promise<AnswerPage>;
	/**
	Registers a reader; `detach` removes one.
	*/
	readonly attach: () => void;
	readonly detach: () => void;
};
