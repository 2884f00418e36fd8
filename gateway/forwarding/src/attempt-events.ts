import type {AttemptAnswer} from './attempt-answer.ts';
import type {AttemptFailure} from './attempt-failure.ts';

/**
Is told what becomes of an attempt. `onAnswer` or `onFailure` comes last, and only one of them.
*/
export type AttemptEvents = {
	/**
	The first byte is about to go out: from here on the request may run.
	*/
	readonly onSent: () => void;
	/**
	The endpoint says that it did not run the request; `onFailure` follows.
	*/
	readonly onNotRun: () => void;
	/**
	The request began to run at that time, in milliseconds on the steady clock.
	*/
	readonly onStarted: (at: number) => void;
	/**
	A piece of the answer has come.
	*/
	readonly onChunk: () => void;
	/**
	The caller reads slowly, which says nothing about the endpoint.
	*/
	readonly onPaused: () => void;
	/**
	The endpoint will not answer; the attempt goes on until it is ended.
	*/
	readonly onEndpointLost: (reason: string) => void;
	/**
	The answer is whole and for the caller.
	*/
	readonly onAnswer: (answer: AttemptAnswer) => void;
	readonly onFailure: (failure: AttemptFailure) => void;
};
