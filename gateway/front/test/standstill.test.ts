// Guards against bounds on the time of a closing connection that expire while the process stands still and can neither send nor read.
import {Buffer} from 'node:buffer';
import {test, type Test} from 'tap';
import type {Interruption} from '@valvesaddle/forwarding';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {formatRequest} from './format-request.ts';
import {startFront} from './start-front.ts';

const interruption: Interruption = {endedBy: 'endpoint', cause: 'connection', reason: 'the endpoint closed the connection'};
/**
Longer than any of the bounds, in milliseconds.
*/
const standstillMs = 1500;

/**
Makes the whole process stand still in a callback of a socket, after which expired timers run before sockets are read.
*/
async function standStill({open, forwarded}: Awaited<ReturnType<typeof startFront>>, runBefore: () => void): Promise<void> {
	const {socket} = open();
	const before = forwarded.length;
	socket.write(formatRequest());
	await waitUntil(() => forwarded.length > before);
	const {promise, resolve} = Promise.withResolvers<void>();
	socket.once('data', () => {
		runBefore();
		Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, standstillMs);
		resolve();
	});
	forwarded.at(-1)!.reply.answer(200, [], Buffer.from('other'));
	await promise;
}

async function startPaused(t: Test, request: string) {
	const front = await startFront(t);
	const call = front.open();
	call.socket.pause();
	call.socket.write(request);
	await waitUntil(() => front.metrics.total('gateway.requests') === 1);
	return {front, call};
}

test('a refused caller that goes on writing while the process stands still gets its refusal', async t => {
	const {front, call} = await startPaused(t, formatRequest('POST', ['Content-Length: 16000000']));
	await standStill(front, () => {
		call.socket.write(Buffer.alloc(100_000));
	});
	call.socket.resume();
	await waitUntil(() => call.hasEnded() || call.socket.closed);
	t.match(call.read(), /^HTTP\/1\.1 413 /v);
	t.equal(call.error(), '');
});

test('a caller gets the events of a stream that is ended incomplete, though the process stands still', async t => {
	const events = Buffer.alloc(6 * 1024 * 1024, 'x');
	const {front, call} = await startPaused(t, formatRequest());
	await waitUntil(() => front.forwarded.length === 1);
	const {reply} = front.forwarded[0]!;
	reply.start(200, []);
	reply.write(events);
	await standStill(front, () => {
		reply.abort(interruption);
		call.socket.resume();
	});
	await waitUntil(() => call.socket.closed);
	t.ok(call.countBytes() > events.length);
});
