import type {AttemptAnswer} from './attempt-answer.ts';

/**
Writes the one answer of a request to its caller, from as many runs as it takes.
*/
export type AnswerWriter = {
	/**
	Whether the caller has got the head of a stream.
	*/
	readonly isStarted: () => boolean;
	/**
	Begins a stream; later runs go on with it.
	*/
	readonly start: (answer: AttemptAnswer) => void;
	/**
	Writes a piece of a stream; `false` while the caller reads more slowly, until `onDrain` is called.
	*/
	readonly write: (chunk: Uint8Array) => boolean;
	readonly onDrain: (resume: () => void) => void;
	/**
	Event after which the next run has to go on; -1 for the caller's own.
	*/
	readonly lastEventId: () => number;
	/**
	Whether the run ended within an event.
	*/
	readonly hasPartialEvent: () => boolean;
	/**
	A run has failed: a half event of it is dropped.
	*/
	readonly discardPartialEvent: () => void;
	/**
	Ends the answer that has come whole.
	*/
	readonly end: (answer: AttemptAnswer) => void;
};
