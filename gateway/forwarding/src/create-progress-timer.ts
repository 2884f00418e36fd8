import type {ProgressTimer} from './progress-timer.ts';

/**
 Creates a progress timer. A restart only moves the deadline while a timer is already set, since a stream restarts it with
 each chunk. A chunk that has already arrived when the timer is due is read first, and may restart it.

 @param onTimeout - Called with the timeout in milliseconds when it has expired.
 @example
 const progressTimer = createProgressTimer(milliseconds => console.log(`silent for ${milliseconds} ms`));
 progressTimer.start(700);
 */
export function createProgressTimer(onTimeout: (milliseconds: number) => void): ProgressTimer {
	let timeoutMs = 0;
	let expiresAt = Infinity;
	let timer: NodeJS.Timeout | undefined;
	let timerAt = Infinity;

	function setTimer(now: number): void {
		clearTimeout(timer);
		timerAt = expiresAt;
		timer = setTimeout(check, expiresAt - now);
	}

	function check(): void {
		timerAt = Infinity;
		if (expiresAt === Infinity) {
			return;
		}

		const now = performance.now();
		if (now < expiresAt) {
			setTimer(now);
			return;
		}

		// After the event loop was blocked, timers run before sockets are read, and a chunk may wait there.
		setImmediate(expire);
	}

	/**
	Expires the timer unless it was stopped or restarted after `check`.
	*/
	function expire(): void {
		if (performance.now() < expiresAt) {
			return;
		}

		expiresAt = Infinity;
		onTimeout(timeoutMs);
	}

	return {
		start(milliseconds) {
			const now = performance.now();
			timeoutMs = milliseconds;
			expiresAt = now + milliseconds;
			if (expiresAt < timerAt) {
				setTimer(now);
			}
		},
		stop() {
			clearTimeout(timer);
			timerAt = Infinity;
			expiresAt = Infinity;
		},
	};
}
