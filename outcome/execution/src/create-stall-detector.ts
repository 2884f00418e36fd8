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

	function startTimer(timeoutMs: number): void {
		clearTimeout(timer);
		if (!Number.isFinite(timeoutMs)) {
			return;
		}

		timer = setTimeout(() => {
			if (mayAbort(hasToken)) {
				stalled.abort();
			}
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
		close() {
			clearTimeout(timer);
		},
	};
}
