import type {AttemptAnswer} from './attempt-answer.ts';

/**
Writes the one answer of a request to its caller, from as many runs as it takes.
*/
export type AnswerWriter = {
	/**
	Whether the caller has got the head of a stream.
	*/
	readonly isBegun: () => boolean;
	/**
	Begins a stream; later runs go on with it.
	*/
	readonly begin: (answer: AttemptAnswer) => void;
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
	readonly hasRest: () => boolean;
	/**
	A run has failed: a half event of it is dropped.
	*/
	readonly dropRest: () => void;
	/**
	Ends the answer that has come whole.
	*/
	readonly end: (answer: AttemptAnswer) => void;
};
