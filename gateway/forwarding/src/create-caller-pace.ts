import type {ByteHold} from '@valvesaddle/buffers';
import type {AnswerWriter} from './answer-writer.ts';
import type {CallerPace} from './caller-pace.ts';

type CallerPaceOptions = {
	readonly writer: Pick<AnswerWriter, 'write' | 'onDrain'>;
	/**
	What is held for the request; without it the endpoint is paused as long as the caller does not read.
	*/
	readonly hold: ByteHold | undefined;
	readonly onPaused: () => void;
	/**
	The endpoint is to be read again.
	*/
	readonly onResumed: () => void;
};

/**
 Creates the pace of an attempt: its endpoint is read ahead of a slow caller within the bounds of what is held, and paused beyond.

 @example
 const pace = createCallerPace({writer, hold: request.hold, onPaused() {}, onResumed() {}});
 pace.write(chunk); // 'pause'
 */
export function createCallerPace({writer, hold, onPaused, onResumed}: CallerPaceOptions): CallerPace {
	let isPaused = false;
	let isDrainAwaited = false;
	let timer: NodeJS.Timeout | undefined;

	function end(): void {
		isPaused = false;
		clearTimeout(timer);
	}

	/**
	Goes on after a pause, unless the attempt has ended meanwhile.
	*/
	function startAgain(): void {
		if (!isPaused) {
			return;
		}

		end();
		onResumed();
	}

	/**
	Reads on after a time, before the endpoint gives up an answer that nobody reads.
	*/
	function startTimer({limits: {unreadMs}, canReadAhead}: ByteHold): void {
		timer = setTimeout(() => {
			if (canReadAhead(unreadMs)) {
				startAgain();
			} else {
				startTimer(hold!);
			}
		}, unreadMs);
	}

	function waitForDrain(): void {
		if (isDrainAwaited) {
			return;
		}

		isDrainAwaited = true;
		writer.onDrain(() => {
			isDrainAwaited = false;
			startAgain();
		});
	}

	return {
		write(chunk) {
			if (writer.write(chunk) || hold?.canReadAhead(0) === true) {
				return 'more';
			}

			isPaused = true;
			onPaused();
			waitForDrain();
			if (hold !== undefined) {
				startTimer(hold);
			}

			return 'pause';
		},
		end,
	};
}
