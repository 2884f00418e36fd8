// Guards against an attempt that is aborted after a standstill of this process although its tokens have arrived.
import {test, type Test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {openSocketPair, waitBlocking} from '@valvesaddle/fake-http';
import {createStallDetector} from '../src/create-stall-detector.ts';

const stallMs = 100;

function startDetector(t: Test, betweenTokensMs: number) {
	const detector = createStallDetector({
		timeouts: {beforeFirstTokenMs: stallMs, betweenTokensMs}, signal: new AbortController().signal, mayAbort: () => true,
	});
	t.teardown(detector.close);
	return detector;
}

test('a token that arrived while the process stood still is read before the attempt counts as stalled', async t => {
	const {reader, writer, close} = await openSocketPair();
	t.teardown(close);
	let tokens = 0;
	const detector = startDetector(t, 600_000);
	reader.on('data', () => {
		tokens++;
		detector.recordToken();
	});
	writer.write('token');
	waitBlocking(2 * stallMs);
	await waitUntil(() => tokens > 0);
	t.notOk(detector.isStalled());
});

test('an attempt stalls in a standstill in which no token arrived', async t => {
	const detector = startDetector(t, stallMs);
	waitBlocking(2 * stallMs);
	await waitUntil(detector.isStalled);
	t.ok(detector.signal.aborted);
});

test('an attempt that was closed in the same turn is not aborted', async t => {
	const {reader, writer, close} = await openSocketPair();
	t.teardown(close);
	const detector = startDetector(t, stallMs);
	let isRead = false;
	reader.on('data', () => {
		isRead = true;
		detector.close();
	});
	writer.write('end');
	waitBlocking(2 * stallMs);
	await waitUntil(() => isRead);
	t.notOk(detector.isStalled());
});
