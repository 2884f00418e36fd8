// Guards against an idle timeout that expires while the process stands still, although a request has arrived in the meantime.
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {formatRequest} from './format-request.ts';
import {startFront} from './start-front.ts';

const idleTimeoutMs = 1;
/**
Longer than the timeout and what Node.js adds to it, in milliseconds.
*/
const standstillMs = 1500;

/**
Makes the whole process stand still, as a pause of its machine does.
*/
function waitStill(): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, standstillMs);
}

test('a request that arrives while the process stands still is answered', async t => {
	const {open, forwarded} = await startFront(t, {idleTimeoutMs});
	const {socket, read} = open();
	socket.write(formatRequest());
	await waitUntil(() => forwarded.length === 1);
	forwarded[0]!.reply.answer(200, [], Buffer.from('first'));
	await waitUntil(() => read().endsWith('first'));
	const other = open();
	other.socket.write(formatRequest());
	await waitUntil(() => forwarded.length === 2);
	// In a callback of a socket: expired timers run before sockets are read again.
	other.socket.once('data', () => {
		socket.write(formatRequest());
		waitStill();
	});
	forwarded[1]!.reply.answer(200, [], Buffer.from('other'));
	await waitUntil(() => forwarded.length === 3 || socket.closed);
	forwarded[2]?.reply.answer(200, [], Buffer.from('second'));
	await waitUntil(() => read().endsWith('second') || socket.closed);
	t.ok(read().endsWith('second'));
});

test('a connection that is idle is closed after the timeout', async t => {
	const {open, forwarded} = await startFront(t, {idleTimeoutMs});
	const {socket, read} = open();
	socket.write(formatRequest());
	await waitUntil(() => forwarded.length === 1);
	forwarded[0]!.reply.answer(200, [], Buffer.from('first'));
	await waitUntil(() => socket.closed);
	t.ok(read().endsWith('first'));
});

test('a shorter idle timeout does not close a connection on which a request is running', async t => {
	const {open, forwarded, configure} = await startFront(t);
	const {socket, read} = open();
	socket.write(formatRequest());
	await waitUntil(() => forwarded.length === 1);
	configure({idleTimeoutMs, headerTimeoutMs: 1});
	waitStill();
	forwarded[0]!.reply.answer(200, [], Buffer.from('first'));
	await waitUntil(() => socket.closed);
	t.match(read(), /^HTTP\/1\.1 200 [\s\S]*first$/v);
});

test('a shorter header timeout does not refuse a request whose body is still arriving', async t => {
	const {open, forwarded, metrics, configure} = await startFront(t);
	const {socket, read} = open();
	socket.write(formatRequest('POST', ['Content-Length: 4'], 'bo'));
	await waitUntil(() => metrics.total('gateway.requests') === 1);
	configure({idleTimeoutMs, headerTimeoutMs: 1});
	waitStill();
	socket.write('dy');
	await waitUntil(() => forwarded.length === 1 || socket.closed);
	forwarded[0]?.reply.answer(200, [], Buffer.from('first'));
	await waitUntil(() => socket.closed);
	t.match(read(), /^HTTP\/1\.1 200 [\s\S]*first$/v);
});
