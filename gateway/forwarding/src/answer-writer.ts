import type {AttemptAnswer} from './attempt-answer.ts';

/**
Writes one answer to the caller, from one or several runs of its request.
*/
export type AnswerWriter = {
	/**
	Whether the head of a stream was sent to the caller.
	*/
	readonly isStarted: () => boolean;
	/**
	Whether another endpoint's answer can still be sent: none has started, or the one that has is a resumable stream.
	*/
	readonly canResume: () => boolean;
	/**
	Sends the head of a stream once; later runs continue the stream.
	*/
	readonly start: (answer: AttemptAnswer) => void;
	/**
	Writes a chunk of a stream; returns `false` under backpressure, until the `onDrain` callback is called.
	*/
	readonly write: (chunk: Uint8Array) => boolean;
	readonly onDrain: (resume: () => void) => void;
	/**
	Id of the last event that was sent, after which the next run continues; -1 to use the caller's own `Last-Event-Id`.
	*/
	readonly lastEventId: () => number;
	/**
	Whether the stream so far ends within an event. Of a stream that cannot be resumed that is known only without a length or chunks:
	otherwise its endpoint has said that it is whole.
	*/
	readonly hasPartialEvent: () => boolean;
	/**
	Bytes of the incomplete event that is buffered.
	*/
	readonly countPartialBytes: () => number;
	/**
	Discards the incomplete event of a run that failed.
	*/
	readonly discardPartialEvent: () => void;
	/**
	Ends a stream, or sends a complete answer.
	*/
	readonly end: (answer: AttemptAnswer) => void;
};
