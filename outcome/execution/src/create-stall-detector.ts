import type {StallTimeouts} from './stall-timeouts.ts';
import type {StallDetector} from './stall-detector.ts';

type StallDetectorOptions = {
	readonly limits: StallTimeouts;
	readonly signal: AbortSignal;
	/**
	Whether an attempt without a first token may be cut, since its retry needs budget.
	*/
	readonly mayCut: () => boolean;
};

/**
 Creates the watch of one attempt. An engine that freezes keeps its connections open, so that nothing but its silence
 tells.

 @example
 const watch = createSilenceWatch({limits, signal, mayCut: () => true});
 */
export function createStallDetector({limits, signal, mayCut}: StallDetectorOptions): StallDetector {
	const cut = new AbortController();
	let hasToken = false;
	let timer: NodeJS.Timeout | undefined;

	function startTimer(limitMs: number): void {
		clearTimeout(timer);
		if (!Number.isFinite(limitMs)) {
			return;
		}

		timer = setTimeout(() => {
			if (hasToken || mayCut()) {
				cut.abort();
			}
		}, limitMs);
		timer.unref();
	}

	startTimer(limits.beforeFirstTokenMs);

	return {
		signal: AbortSignal.any([signal, cut.signal]),
		recordToken() {
			hasToken = true;
			startTimer(limits.betweenTokensMs);
		},
		isStalled: () => cut.signal.aborted,
		close() {
			clearTimeout(timer);
		},
	};
}
