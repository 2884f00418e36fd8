import type {Patience} from './patience.ts';

/**
 Creates a wait for the next sign of life. It sets one timer for a whole wait, however many signs come meanwhile: a stream brings
 one with each of its events.

 @param onOver - Is told, with the milliseconds that were waited, when no sign has come.
 @example
 const patience = createPatience(milliseconds => console.log(`silent for ${milliseconds} ms`));
 patience.start(700);
 */
export function createPatience(onOver: (milliseconds: number) => void): Patience {
	let lengthMs = 0;
	let dueAt = Infinity;
	let timer: NodeJS.Timeout | undefined;
	let timerAt = Infinity;

	function setTimer(now: number): void {
		clearTimeout(timer);
		timerAt = dueAt;
		timer = setTimeout(check, dueAt - now);
	}

	function check(): void {
		timerAt = Infinity;
		if (dueAt === Infinity) {
			return;
		}

		const now = performance.now();
		if (now < dueAt) {
			setTimer(now);
			return;
		}

		dueAt = Infinity;
		onOver(lengthMs);
	}

	return {
		start(milliseconds) {
			const now = performance.now();
			lengthMs = milliseconds;
			dueAt = now + milliseconds;
			if (dueAt < timerAt) {
				setTimer(now);
			}
		},
		stop() {
			clearTimeout(timer);
			timerAt = Infinity;
			dueAt = Infinity;
		},
	};
}
