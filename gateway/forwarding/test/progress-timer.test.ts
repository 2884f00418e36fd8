/*
A stream brings a sign of life with each of its events; a wait for the next one sets no timer anew for each of them, and ends at the
same moment as if it did.
*/
import {Clock} from 'clock-mock';
import fc from 'fast-check';
import {test} from 'tap';
import {createProgressTimer} from '../src/create-progress-timer.ts';

/**
Millisecond by millisecond, so that what comes due sees its own time.
*/
function runFor(clock: Clock, milliseconds: number): void {
	for (let count = 0; count < milliseconds; count++) {
		clock.advance(1);
	}
}

test('the wait ends when no sign came for as long as the last one allowed', t => {
	fc.assert(fc.property(fc.array(fc.record({afterMs: fc.integer({min: 1, max: 900}), waitMs: fc.integer({min: 50, max: 800})}), {minLength: 1, maxLength: 20}), signs => {
		const clock = new Clock();
		const exit = clock.enter();
		try {
			const startedAt = performance.now();
			let endedAt: number | undefined;
			let endedLength = 0;
			const patience = createProgressTimer(milliseconds => {
				endedAt ??= performance.now();
				endedLength ||= milliseconds;
			});
			let expectedAt = Infinity;
			let expectedLength = 0;
			let now = 0;
			for (const {afterMs, waitMs} of signs) {
				now += afterMs;
				if (now >= expectedAt) {
					break;
				}

				runFor(clock, afterMs);
				patience.start(waitMs);
				expectedAt = now + waitMs;
				expectedLength = waitMs;
			}

			runFor(clock, 1000);
			return Math.abs(endedAt! - startedAt - expectedAt) <= 1 && endedLength === expectedLength;
		} finally {
			exit();
		}
	}));
	t.end();
});

test('a wait that was stopped ends no more, and one after it does', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	let ends = 0;
	const patience = createProgressTimer(() => {
		ends++;
	});
	patience.start(100);
	clock.advance(50);
	patience.stop();
	clock.advance(500);
	t.equal(ends, 0);
	patience.start(30);
	clock.advance(30);
	t.equal(ends, 1);
	t.end();
});
