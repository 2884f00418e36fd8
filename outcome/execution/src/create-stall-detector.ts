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
 it.

 @example
 const detector = createStallDetector({timeouts, signal, mayAbort: () => true});
 */
export function createStallDetector({timeouts, signal, mayAbort}: StallDetectorOptions): StallDetector {
	const stalled = new AbortController();
	let hasToken = false;
	let timer: NodeJS.Timeout | undefined;
	let check: NodeJS.Immediate | undefined;

	function removeTimers(): void {
		clearTimeout(timer);
		clearImmediate(check);
	}

	function endIfAllowed(): void {
		if (mayAbort(hasToken)) {
			stalled.abort();
		}
	}

	function startTimer(timeoutMs: number): void {
		removeTimers();
		if (!Number.isFinite(timeoutMs)) {
			return;
		}

		timer = setTimeout(() => {
			// After the event loop was blocked, timers run first; a token that has arrived meanwhile is read before the check.
			check = setImmediate(endIfAllowed);
		}, timeoutMs);
		timer.unref();
	}

	startTimer(timeouts.beforeFirstTokenMs);

	return {
		signal: AbortSignal.any([signal, stalled.signal]),
		recordToken() {
			hasToken = true;
			startTimer(timeouts.betweenTokensMs);
		},
		isStalled: () => stalled.signal.aborted,
		close: removeTimers,
	};
}
