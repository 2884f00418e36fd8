import type {AttemptAnswer} from './attempt-answer.ts';
import type {AttemptFailure} from './attempt-failure.ts';
import type {FailureCause} from './failure-cause.ts';

/**
Callbacks of an attempt. Exactly one of `onAnswer` and `onFailure` is called, as the last one, unless the attempt is ended first.
*/
export type AttemptEvents = {
	/**
	Called just before the first byte is sent. From here on the endpoint may run the request.
	*/
	readonly onSent: () => void;
	/**
	The endpoint reports that it did not run the request; `onFailure` follows.
	*/
	readonly onNotRun: () => void;
	/**
	The request started to run, with the time in milliseconds on the monotonic clock.
	*/
	readonly onStarted: (at: number) => void;
	/**
	The endpoint has begun an answer that can be sent to the caller.
	*/
	readonly onAccepted: () => void;
	/**
	A chunk of an answer that can be sent to the caller was received.
	*/
	readonly onChunk: () => void;
	/**
	Reading is paused because of the caller's backpressure, so the endpoint is not timed.
	*/
	readonly onPaused: () => void;
	/**
	The caller has read, so the endpoint is timed again. Not called once the attempt has ended.
	*/
	readonly onResumed: () => void;
	/**
	The endpoint has stalled or terminated; the attempt stays open until it is ended.
	*/
	readonly onEndpointLost: (cause: FailureCause, reason: string) => void;
	/**
	The answer is complete and can be sent to the caller.
	*/
	readonly onAnswer: (answer: AttemptAnswer) => void;
	readonly onFailure: (failure: AttemptFailure) => void;
};
