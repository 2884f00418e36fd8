// Guards against requests that run on after their caller is gone, and against answers that are cut although their caller still reads.
import {Buffer} from 'node:buffer';
import {test} from 'tap';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {formatRequest} from './format-request.ts';
import {startFront} from './start-front.ts';

const largeBytes = 32 * 1024 * 1024;
const large = Buffer.alloc(largeBytes, 'x');

test('all pipelined requests of a caller that disconnects are cancelled', async t => {
	const {open, forwarded} = await startFront(t);
	const {socket} = open();
	socket.write(formatRequest() + formatRequest());
	await waitUntil(() => forwarded.length === 2);
	socket.destroy();
	await waitUntil(() => forwarded[0]!.isCancelled());
	t.ok(forwarded[1]!.isCancelled());
});

test('a request of a caller that half-closes its connection is cancelled, since it cannot be told from one that is gone', async t => {
	const {open, forwarded} = await startFront(t);
	const {socket} = open();
	socket.write(formatRequest());
	await waitUntil(() => forwarded.length === 1);
	socket.end();
	await waitUntil(() => forwarded[0]!.isCancelled());
	t.ok(forwarded[0]!.isCancelled());
});

for (const isStream of [false, true]) {
	test(`a caller that half-closes its connection gets the rest of ${isStream ? 'a stream' : 'an answer'} that has ended`, async t => {
		const {open, forwarded} = await startFront(t);
		const call = open();
		call.socket.pause();
		call.socket.write(formatRequest());
		await waitUntil(() => forwarded.length === 1);
		const {reply} = forwarded[0]!;
		if (isStream) {
			reply.start(200, []);
			reply.write(large);
			reply.end();
		} else {
			reply.answer(200, [], large);
		}

		call.socket.end();
		await waitUntil(() => call.socket.writableFinished);
		call.socket.resume();
		await waitUntil(() => call.socket.closed);
		t.ok(call.countBytes() > largeBytes);
		t.equal(call.error(), '');
	});
}

for (const [name, bytes, isEnded] of [
	['bytes that are no request', '\u{1} no request\r\n\r\n', false],
	['a part of a request and the end of the connection', 'GET /any/x HTTP/1.1\r\nHost: per', true],
] as const) {
	test(`a slow reader gets the rest of an answer that has ended, though it sent ${name}`, async t => {
		const {open, forwarded, metrics} = await startFront(t);
		const call = open();
		call.socket.pause();
		call.socket.write(formatRequest());
		await waitUntil(() => forwarded.length === 1);
		forwarded[0]!.reply.answer(200, [], large);
		call.socket.write(bytes);
		if (isEnded) {
			call.socket.end();
		}

		await waitUntil(() => metrics.total('gateway.connection-errors') === 1 || call.socket.destroyed);
		call.socket.resume();
		await waitUntil(() => call.socket.closed);
		t.ok(call.countBytes() > largeBytes);
		t.equal(call.error(), '');
	});
}

test('a stream whose caller disconnects behind unread bytes is cancelled before they are sent', async t => {
	const {open, forwarded} = await startFront(t);
	const {socket} = open();
	socket.pause();
	socket.write(formatRequest());
	await waitUntil(() => forwarded.length === 1);
	const {reply, isCancelled} = forwarded[0]!;
	reply.start(200, []);
	reply.write(large);
	socket.end();
	await waitUntil(isCancelled);
	t.ok(isCancelled());
});

test('a request whose caller disconnected before it was read is not forwarded', async t => {
	const {open, forwarded} = await startFront(t);
	const left = open();
	const other = open();
	await waitUntil(() => !left.socket.connecting && !other.socket.connecting);
	left.socket.end(formatRequest());
	other.socket.write(formatRequest());
	await waitUntil(() => left.socket.closed && forwarded.length > 0);
	t.equal(forwarded.length, 1);
});
