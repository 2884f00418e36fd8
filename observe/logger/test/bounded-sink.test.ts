import process from 'node:process';
import {Writable} from 'node:stream';
import {Clock} from 'clock-mock';
import {test} from 'tap';
import {createBoundedSink} from '../src/create-bounded-sink.ts';

const kilobyte = 1024;

function createReader() {
	const texts: string[] = [];
	let resumeWriting: (() => void) | undefined;
	const output = new Writable({
		decodeStrings: false,
		write(text: string, _encoding, callback) {
			texts.push(text);
			resumeWriting = callback;
		},
	});
	return {
		output, texts, resume() {
			resumeWriting?.();
		},
	};
}

test('lines are batched into one write', t => {
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

test('while the reader is stalled, lines of answered requests are dropped first, and the number of dropped lines is logged', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const {output, texts, resume} = createReader();
	const sink = createBoundedSink(output);
	const answered = `{"outcome":"answered","x":"${'x'.repeat(kilobyte)}"}\n`;
	const failed = `{"outcome":"broken-off","x":"${'x'.repeat(kilobyte)}"}\n`;
	for (let index = 0; index < 1500; index++) {
		sink.stream.write(answered);
	}

	clock.advance(100);
	sink.stream.write(failed);
	for (let index = 0; index < 3000; index++) {
		sink.stream.write(failed);
	}

	resume();
	await new Promise(resolve => {
		process.nextTick(resolve);
	});
	clock.advance(100);
	const [first = '', second = ''] = texts;
	t.ok(first.length < 1.1 * kilobyte * kilobyte, 'lines of answered requests stop at the first limit');
	t.match(second, 'broken-off');
	t.ok(first.length + second.length < 2.1 * kilobyte * kilobyte, 'all lines stop at the second limit');
	t.match(second, /"lines":\d+,"msg":"log-lines-dropped"/v);
	t.end();
});
