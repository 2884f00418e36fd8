import {Clock} from 'clock-mock';
import {test} from 'tap';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createLoopMonitor} from '../src/create-loop-monitor.ts';

test('a tick that comes late is recorded', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const metrics = createMetrics();
	const monitor = createLoopMonitor({periodMs: 250, logger: createLogger({node: 'n', level: 'silent'}), metrics});
	for (const elapsedMs of [100, 250, 499]) {
		monitor.recordTick();
		clock.advance(elapsedMs);
	}

	monitor.recordTick();
	t.equal(metrics.total('gateway.late-ticks'), 0);
	clock.advance(500);
	monitor.recordTick();
	t.equal(metrics.total('gateway.late-ticks'), 1);
	t.end();
});
