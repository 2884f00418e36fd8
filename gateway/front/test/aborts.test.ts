// Guards against an answer that is ended incomplete together with the events that were already passed on for its caller.
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import type {Interruption} from '@valvesaddle/forwarding';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {formatRequest} from './format-request.ts';
import {startFront} from './start-front.ts';

const interruption: Interruption = {endedBy: 'endpoint', cause: 'connection', reason: 'the endpoint closed the connection'};
const eventsBytes = 6 * 1024 * 1024;
const events = Buffer.alloc(eventsBytes, 'x');

async function startStream(t: Parameters<typeof startFront>[0], request: string, written: Uint8Array) {
	const front = await startFront(t);
	const call = front.open();
	call.socket.pause();
	call.socket.write(request);
	await waitUntil(() => front.forwarded.length === 1);
	const {reply} = front.forwarded[0]!;
	reply.start(200, ['content-type', 'text/event-stream']);
	reply.write(written);
	return {front, call, reply};
}

test('a caller gets the events that were passed on before its stream is ended incomplete', async t => {
	const {call, reply} = await startStream(t, formatRequest(), events);
	reply.abort(interruption);
	call.socket.resume();
	await waitUntil(() => call.socket.closed);
	t.ok(call.countBytes() > eventsBytes);
	t.ok(call.read().endsWith('x\r\n'), 'no last chunk');
	t.equal(call.error(), '');
});

test('a caller that does not read is cut off when its stream is ended incomplete', async t => {
	const {front, reply} = await startStream(t, formatRequest(), Buffer.alloc(32 * 1024 * 1024));
	reply.abort(interruption);
	await waitUntil(() => front.metrics.total('gateway.incomplete-answers') === 1);
	t.equal(front.metrics.total('gateway.incomplete-answers'), 1);
});

test('a request behind a stream that is ended incomplete reaches no endpoint', async t => {
	const {front, call, reply} = await startStream(t, formatRequest(), events);
	reply.abort(interruption);
	call.socket.write(formatRequest());
	await waitUntil(() => front.metrics.total('gateway.requests') === 2 || call.socket.destroyed);
	call.socket.resume();
	await waitUntil(() => call.socket.closed);
	t.equal(front.forwarded.length, 1);
});

test('a caller that knows no chunks sees that its answer is incomplete', async t => {
	const {call, reply} = await startStream(t, formatRequest().replace('HTTP/1.1', 'HTTP/1.0'), Buffer.from('part'));
	reply.abort(interruption);
	call.socket.resume();
	await waitUntil(() => call.socket.closed);
	t.match(call.error(), /ECONNRESET/v);
});
