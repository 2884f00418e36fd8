// Guards against a node at the end of its grace time that closes connections without an answer, or within one that is complete.
import {Buffer} from 'node:buffer';
import {test, type Test} from 'tap';
import {ValvesaddleError} from '@valvesaddle/error';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {formatRequest} from './format-request.ts';
import {startFront} from './start-front.ts';

const largeBytes = 32 * 1024 * 1024;
const large = Buffer.alloc(largeBytes, 'x');
/**
Time to send waiting answers, in milliseconds; much longer than the tests take.
*/
const longMs = 60_000;

async function startCall(t: Test) {
	const front = await startFront(t);
	const call = front.open();
	call.socket.write(formatRequest());
	await waitUntil(() => front.forwarded.length === 1);
	return {...front, call, first: front.forwarded[0]!};
}

test('a node that stops sends the rest of a complete answer to a slow reader', async t => {
	const {front, call, first: {reply}} = await startCall(t);
	call.socket.pause();
	reply.answer(200, [], large);
	const stopped = front.stop(longMs);
	call.socket.resume();
	await waitUntil(() => call.socket.closed);
	t.ok(call.countBytes() > largeBytes);
	t.equal(call.error(), '');
	await stopped;
});

test('a node that stops waits no longer for a caller that does not read', async t => {
	const {front, call, first: {reply}} = await startCall(t);
	call.socket.pause();
	reply.answer(200, [], large);
	await front.stop(1);
	call.socket.resume();
	await waitUntil(() => call.socket.closed);
	t.ok(call.countBytes() < largeBytes);
});

test('a node that stops ends the requests that are still running', async t => {
	const {front, first} = await startCall(t);
	await front.stop(1);
	t.match(first.failures(), [{endedBy: 'node', cause: 'shutdown'}]);
});

test('a node that stops refuses a request whose body is still arriving, and does not run it', async t => {
	const {front, open, forwarded, metrics} = await startFront(t);
	const {socket, read} = open();
	socket.write(formatRequest('POST', ['Content-Length: 4'], 'bo'));
	await waitUntil(() => metrics.total('gateway.requests') === 1);
	const stopped = front.stop(longMs);
	await waitUntil(() => read() !== '' || socket.closed);
	socket.write('dy');
	await waitUntil(() => socket.closed);
	t.match(read(), /^HTTP\/1\.1 503 [\s\S]*ERR_VALVESADDLE_DRAINING/v);
	t.equal(forwarded.length, 0);
	await stopped;
});

test('an error after a complete answer does not cut the answer off', async t => {
	const {call, first: {reply}} = await startCall(t);
	call.socket.pause();
	reply.answer(200, [], large);
	reply.refuse(new ValvesaddleError('ERR_VALVESADDLE_DRAINING', 'too late'));
	call.socket.resume();
	await waitUntil(() => call.countBytes() > largeBytes || call.socket.closed);
	t.ok(call.countBytes() > largeBytes);
});

test('an error within a stream ends it after the events that were written', async t => {
	const {call, first: {reply}} = await startCall(t);
	const events = Buffer.alloc(largeBytes / 4, 'x');
	call.socket.pause();
	reply.start(200, []);
	reply.write(events);
	reply.refuse(new ValvesaddleError('ERR_VALVESADDLE_DRAINING', 'too late'));
	call.socket.resume();
	await waitUntil(() => call.socket.closed);
	t.ok(call.countBytes() > events.length);
	t.ok(call.read().endsWith('x\r\n'), 'no last chunk');
});
