// Guards against an attempt that is aborted after a standstill of this process although its tokens have arrived.
import {once} from 'node:events';
import {
	connect,
	createServer,
	type AddressInfo,
	type Socket,
} from 'node:net';
import {test, type Test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {createStallDetector} from '../src/create-stall-detector.ts';

const stallMs = 100;

/**
Two ends of a connection.
*/
async function openConnection(t: Test) {
	const server = createServer().listen(0, '127.0.0.1');
	await once(server, 'listening');
	const reader = connect((server.address() as AddressInfo).port, '127.0.0.1');
	const [writer] = await once(server, 'connection') as [Socket];
	t.teardown(() => {
		reader.destroy();
		writer.destroy();
		server.close();
	});
	return {reader, writer};
}

/**
Lets the process stand still: it reads nothing and runs no timer.
*/
function stopProcess(milliseconds: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}

function startDetector(t: Test, betweenTokensMs: number) {
	const detector = createStallDetector({
		timeouts: {beforeFirstTokenMs: stallMs, betweenTokensMs}, signal: new AbortController().signal, mayAbort: () => true,
	});
	t.teardown(detector.close);
	return detector;
}

test('a token that arrived while the process stood still is read before the attempt counts as stalled', async t => {
	const {reader, writer} = await openConnection(t);
	let tokens = 0;
	const detector = startDetector(t, 600_000);
	reader.on('data', () => {
		tokens++;
		detector.recordToken();
	});
	writer.write('token');
	stopProcess(2 * stallMs);
	await waitUntil(() => tokens > 0);
	t.notOk(detector.isStalled());
});

test('an attempt stalls in a standstill in which no token arrived', async t => {
	const detector = startDetector(t, stallMs);
	stopProcess(2 * stallMs);
	await waitUntil(detector.isStalled);
	t.ok(detector.signal.aborted);
});

test('an attempt that was closed in the same turn is not aborted', async t => {
	const {reader, writer} = await openConnection(t);
	const detector = startDetector(t, stallMs);
	let isRead = false;
	reader.on('data', () => {
		isRead = true;
		detector.close();
	});
	writer.write('end');
	stopProcess(2 * stallMs);
	await waitUntil(() => isRead);
	t.notOk(detector.isStalled());
});
