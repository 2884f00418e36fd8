import type {AnswerClass} from './answer-class.ts';
import type {AttemptAnswer} from './attempt-answer.ts';
import type {RestGuard} from './rest-guard.ts';

type RestBounds = {
	readonly bytes: number;
	readonly milliseconds: number;
};

/**
Bounds by what an answer is. The body of a refusal says nothing, so it is read only to keep the connection; that of a failure is
passed on to the caller if nothing better is found.
*/
const boundsByClass: Partial<Record<AnswerClass, RestBounds>> = {
	'not-run': {bytes: 65_536, milliseconds: 500},
	misdirected: {bytes: 65_536, milliseconds: 500},
	'run-failed': {bytes: 1_048_576, milliseconds: 2000},
};

/**
 Creates the guard of the rest of an answer that is none. Answers the load of endpoints that send bytes without end: their callers
 need not wait for the end of what is known to be a refusal or a failure.

 @param onCut - Called once when the bounds are exceeded, with the reason.
 @example
 const rest = createRestGuard((answer, reason) => exchange.abort());
 rest.start(answer);
 */
export function createRestGuard(onCut: (answer: AttemptAnswer, reason: string) => void): RestGuard {
	let timer: NodeJS.Timeout | undefined;

	function end(): void {
		clearTimeout(timer);
		timer = undefined;
	}

	function endRest(answer: AttemptAnswer, reason: string): void {
		// It was stopped meanwhile.
		if (timer === undefined) {
			return;
		}

		end();
		onCut(answer, reason);
	}

	return {
		start(answer) {
			const bounds = boundsByClass[answer.answerClass];
			if (bounds === undefined) {
				return;
			}

			timer = setTimeout(() => {
				// After the event loop was blocked, timers run before sockets are read, and the end may wait there.
				setImmediate(endRest, answer, `not ended after ${bounds.milliseconds} ms`);
			}, bounds.milliseconds);
		},
		check(answer) {
			const bounds = boundsByClass[answer.answerClass];
			if (bounds !== undefined && answer.body.countBytes() > bounds.bytes) {
				endRest(answer, `over ${bounds.bytes} bytes`);
			}
		},
		stop: end,
	};
}
