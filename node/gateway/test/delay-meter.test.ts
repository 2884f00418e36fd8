import {Clock} from 'clock-mock';
import {test} from 'tap';
import {createDelayMeter} from '../src/create-delay-meter.ts';

test('the delay of a message is measured against the quickest one on its link, whatever the offset of the clocks', t => {
	const clock = new Clock();
	clock.enter();
	t.teardown(() => {
		clock.exit();
	});
	const delays = createDelayMeter();
	const offset = 7_000_000;
	t.equal(delays.measure('n2', performance.now() + offset - 5), 0, 'the first message has no reference');
	clock.advance(250);
	t.equal(Math.round(delays.measure('n2', performance.now() + offset - 3005)), 3000, 'delayed by three seconds');
	t.equal(Math.round(delays.measure('n2', performance.now() + offset - 2)), 0, 'a quicker one sets the reference');
	t.equal(Math.round(delays.measure('n2', performance.now() + offset - 5)), 3);
	t.equal(delays.measure('n3', performance.now() - 5), 0, 'each link has its own reference');
	delays.remove('n2');
	t.equal(delays.measure('n2', performance.now() - 900), 0);
	t.end();
});

test('a clock that stopped causes a delay for two minutes at most, and one that drifts causes none', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const delays = createDelayMeter();
	const stoppedMs = 10_000;
	const drift = 50e-6;
	delays.measure('n2', performance.now());
	for (let second = 0; second < 120; second++) {
		clock.advance(1000);
		delays.measure('n2', performance.now() - stoppedMs);
	}

	clock.advance(1000);
	t.equal(delays.measure('n2', performance.now() - stoppedMs), 0);
	for (let minute = 0; minute < 24 * 60; minute++) {
		clock.advance(60_000);
		t.ok(delays.measure('n3', performance.now() * (1 - drift)) < 10);
	}

	t.end();
});
