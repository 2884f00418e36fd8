/*
The progress timer doesn't set a new timer on each restart; it must expire at the same time as if it did.
*/
import {Clock} from 'clock-mock';
import fc from 'fast-check';
import {test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {openSocketPair, waitBlocking} from '@valvesaddle/fake-http';
import {createProgressTimer} from '../src/create-progress-timer.ts';

/**
Advances millisecond by millisecond, so that each timer runs at its own time.
*/
function advanceClock(clock: Clock, milliseconds: number): void {
	for (let count = 0; count < milliseconds; count++) {
		clock.advance(1);
	}
}

test('the timer expires when it was not restarted within its last timeout', t => {
	fc.assert(fc.property(fc.array(fc.record({afterMs: fc.integer({min: 1, max: 900}), timeoutMs: fc.integer({min: 50, max: 800})}), {minLength: 1, maxLength: 20}), restarts => {
		const clock = new Clock();
		const exit = clock.enter();
		try {
			const startedAt = performance.now();
			let expiredAt: number | undefined;
			let expiredTimeoutMs = 0;
			const progressTimer = createProgressTimer(milliseconds => {
				expiredAt ??= performance.now();
				expiredTimeoutMs ||= milliseconds;
			});
			let expectedAt = Infinity;
			let expectedTimeoutMs = 0;
			let now = 0;
			for (const {afterMs, timeoutMs} of restarts) {
				now += afterMs;
				if (now >= expectedAt) {
					break;
				}

				advanceClock(clock, afterMs);
				progressTimer.start(timeoutMs);
				expectedAt = now + timeoutMs;
				expectedTimeoutMs = timeoutMs;
			}

			advanceClock(clock, 1000);
			return Math.abs(expiredAt! - startedAt - expectedAt) <= 1 && expiredTimeoutMs === expectedTimeoutMs;
		} finally {
			exit();
		}
	}));
	t.end();
});

test('a stopped timer does not expire, and expires after it is started again', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	let expirations = 0;
	const progressTimer = createProgressTimer(() => {
		expirations++;
	});
	progressTimer.start(100);
	clock.advance(50);
	progressTimer.stop();
	clock.advance(500);
	t.equal(expirations, 0);
	progressTimer.start(30);
	clock.advance(30);
	t.equal(expirations, 1);
	t.end();
});

test('a chunk that arrived while the process stood still is read before the timer expires', async t => {
	const {reader, writer, close} = await openSocketPair();
	t.teardown(close);
	let chunks = 0;
	let expirations = 0;
	const progressTimer = createProgressTimer(() => {
		expirations++;
	});
	t.teardown(progressTimer.stop);
	reader.on('data', () => {
		chunks++;
		progressTimer.start(600_000);
	});
	progressTimer.start(100);
	writer.write('chunk');
	waitBlocking(200);
	await waitUntil(() => chunks > 0);
	t.equal(expirations, 0);
});

test('the timer expires after a standstill in which nothing arrived', async t => {
	let expirations = 0;
	const progressTimer = createProgressTimer(() => {
		expirations++;
	});
	progressTimer.start(100);
	waitBlocking(200);
	await waitUntil(() => expirations > 0);
	t.equal(expirations, 1);
});
