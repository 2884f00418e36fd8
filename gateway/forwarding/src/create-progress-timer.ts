import type {ProgressTimer} from './progress-timer.ts';

/**
 Creates a wait for the next sign of life. It sets one timer for a whole wait, however many signs come meanwhile: a stream brings
 one with each of its events.

 @param onTimeout - Is told, with the milliseconds that were waited, when no sign has come.
 @example
 const patience = createPatience(milliseconds => console.log(`silent for ${milliseconds} ms`));
 patience.start(700);
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
