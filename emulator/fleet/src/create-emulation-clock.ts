import type {Clock} from 'clock-mock';
import TinyQueue from 'tinyqueue';
import type {EmulationClock} from './emulation-clock.ts';

type Event = {
	readonly at: number;
	readonly order: number;
	readonly handler: () => void;
};

/**
 Creates the clock of an emulation. It also advances the paused clock of the process, which drives the timers of the
 packages under test.

 @example
 const clock = createEmulationClock(paused);
 clock.add(20, () => {});
 clock.run(1000);
 */
export function createEmulationClock(paused: Clock): EmulationClock {
	const events = new TinyQueue<Event>([], (a, b) => a.at === b.at ? a.order - b.order : a.at - b.at);
	let now = paused.now();
	let order = 0;

	return {
		now: () => now,
		add(milliseconds, handler) {
			events.push({at: now + milliseconds, order: order++, handler});
		},
		run(untilMs) {
			for (let next = events.peek(); next !== undefined && next.at <= untilMs; next = events.peek()) {
				events.pop();
				paused.advance(next.at - now);
				now = next.at;
				next.handler();
			}
		},
	};
}
