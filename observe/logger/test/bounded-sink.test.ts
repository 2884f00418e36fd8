import process from 'node:process';
import {Writable} from 'node:stream';
import {Clock} from 'clock-mock';
import {test} from 'tap';
import {createBoundedSink} from '../src/create-bounded-sink.ts';

const kilobyte = 1024;

function createReader() {
	const texts: string[] = [];
	let goOn: (() => void) | undefined;
	const output = new Writable({
		decodeStrings: false,
		write(text: string, _encoding, callback) {
			texts.push(text);
			goOn = callback;
		},
	});
	return {
		output, texts, readOn() {
			goOn?.();
		},
	};
}

test('lines are gathered and written together', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const {output, texts} = createReader();
	const sink = createBoundedSink(output);
	sink.stream.write('a\n');
	sink.stream.write('b\n');
	t.same(texts, []);
	clock.advance(100);
	t.same(texts, ['a\nb\n']);
	t.end();
});

test('a reader that stands still makes nobody wait: what went well is dropped first, and the drop is told of', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const {output, texts, readOn} = createReader();
	const sink = createBoundedSink(output);
	const well = `{"outcome":"answered","x":"${'x'.repeat(kilobyte)}"}\n`;
	const failed = `{"outcome":"broken-off","x":"${'x'.repeat(kilobyte)}"}\n`;
	for (let index = 0; index < 1500; index++) {
		sink.stream.write(well);
	}

	clock.advance(100);
	sink.stream.write(failed);
	for (let index = 0; index < 3000; index++) {
		sink.stream.write(failed);
	}

	readOn();
	await new Promise(resolve => {
		process.nextTick(resolve);
	});
	clock.advance(100);
	const [first = '', second = ''] = texts;
	t.ok(first.length < 1.1 * kilobyte * kilobyte, 'lines of what went well stop at the first bound');
	t.match(second, 'broken-off');
	t.ok(first.length + second.length < 2.1 * kilobyte * kilobyte, 'all stop at the second');
	t.match(second, /"lines":\d+,"msg":"log-lines-dropped"/v);
	t.end();
});
