import {Clock} from 'clock-mock';
import {test} from 'tap';
import {measureTick} from '@valvesaddle/ticks';

test('timers of different periods fire together, and only once for each tick', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	clock.travel(1000);
	t.equal(measureTick(250), 250);
	clock.travel(1010);
	t.equal(measureTick(250), 240);
	t.equal(measureTick(125), 115);
	clock.travel(1249);
	t.equal(measureTick(250), 251, 'a timer that fired early skips its tick');
	t.end();
});
