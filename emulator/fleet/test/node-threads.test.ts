import {Clock} from 'clock-mock';
import {test} from 'tap';
import {createEmulationClock} from '../src/create-emulation-clock.ts';
import {createNodeThreads} from '../src/create-node-threads.ts';

test('a node that stood still runs its expired timers before it reads what has arrived meanwhile, other nodes go on', t => {
	const paused = new Clock();
	const exit = paused.enter();
	const clock = createEmulationClock(paused);
	const threads = createNodeThreads(clock);
	const slow = threads.create();
	const other = threads.create();
	const log: string[] = [];
	const write = (text: string) => () => {
		log.push(`${Math.round(clock.now())} ${text}`);
	};

	slow.run(() => {
		setTimeout(() => {
			write('timer')();
			setImmediate(write('immediate'));
		}, 50);
		const cleared = setTimeout(write('cleared'), 60);
		setTimeout(() => {
			clearTimeout(cleared);
		}, 55);
	});
	clock.add(10, () => {
		slow.pause(100);
	});
	clock.add(20, () => {
		slow.run(write('arrival'));
		other.run(write('other'));
	});
	clock.add(30, () => {
		slow.runTimer(write('interval'));
	});
	clock.add(120, () => {
		// The next turn.
	});
	clock.add(200, write('end'));
	clock.run(300);
	threads.exit();
	exit();
	t.same(log.map(line => line.split(' ', 2)[1]), ['other', 'interval', 'timer', 'arrival', 'immediate', 'end']);
	t.same(log.map(line => Number(line.split(' ', 1)[0]) - clock.now() + 200), [20, 110, 110, 110, 110, 200]);
	t.end();
});
