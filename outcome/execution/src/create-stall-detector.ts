import type {StallTimeouts} from './stall-timeouts.ts';
import type {StallDetector} from './stall-detector.ts';

type StallDetectorOptions = {
	readonly timeouts: StallTimeouts;
	readonly signal: AbortSignal;
	/**
	Whether the attempt may be aborted, since its request can go on in another one. Reserves what that one needs.

	@param hasToken - Whether the attempt has produced a token.
	*/
	readonly mayAbort: (hasToken: boolean) => boolean;
};

/**
 Creates the stall detector of one attempt. An engine that hangs keeps its connections open, so only missing tokens reveal
 it. A token that has already arrived when the timeout is due is read first.

 @example
 const detector = createStallDetector({timeouts, signal, mayAbort: () => true});
 */
export function createStallDetector({timeouts, signal, mayAbort}: StallDetectorOptions): StallDetector {
	const stalled = new AbortController();
	let hasToken = false;
	let timer: NodeJS.Timeout | undefined;

	function endTimer(): void {
		clearTimeout(timer);
		timer = undefined;
	}

	function startTimer(timeoutMs: number): void {
		endTimer();
		if (!Number.isFinite(timeoutMs)) {
			return;
		}

		const started = setTimeout(() => {
			// After a standstill of the process timers run before sockets are read, and a token may wait there.
			setImmediate(expire, started);
		}, timeoutMs);
		timer = started;
		timer.unref();
	}

	/**
	Aborts the attempt unless its timer was stopped or restarted meanwhile.
	*/
	function expire(expired: NodeJS.Timeout): void {
		if (timer === expired && mayAbort(hasToken)) {
			stalled.abort();
		}
	}

	startTimer(timeouts.beforeFirstTokenMs);

	return {
		signal: AbortSignal.any([signal, stalled.signal]),
		recordToken() {
			hasToken = true;
			startTimer(timeouts.betweenTokensMs);
		},
		isStalled: () => stalled.signal.aborted,
		close: endTimer,
	};
}
