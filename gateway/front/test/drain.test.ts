// Guards against a draining node that takes a connection for idle while bytes of its answers still wait for a slow reader.
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {test} from 'tap';
import type {Reply} from '@valvesaddle/forwarding';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {formatRequest} from './format-request.ts';
import {startFront} from './start-front.ts';

/**
Size of an answer that the buffers of the system cannot hold, in bytes.
*/
const largeBytes = 32 * 1024 * 1024;
const large = Buffer.alloc(largeBytes, 'x');

type Front = Awaited<ReturnType<typeof startFront>>;

/**
Sends requests that are all forwarded; their caller does not read yet.
*/
async function sendUnread({open, forwarded}: Front, bytes: string, count = 1) {
	const call = open();
	call.socket.pause();
	const before = forwarded.length;
	call.socket.write(bytes);
	await waitUntil(() => forwarded.length === before + count);
	return {call, replies: forwarded.slice(before).map(({reply}) => reply)};
}

/**
Begins to drain and waits until an idle connection is closed, so that the front has looked at all of them.
*/
async function drainPastIdle({front, open, forwarded}: Front): Promise<{readonly drained: Promise<void>}> {
	const {socket, read} = open();
	const before = forwarded.length;
	socket.write(formatRequest());
	await waitUntil(() => forwarded.length > before);
	forwarded.at(-1)!.reply.answer(200, [], Buffer.from('idle'));
	await waitUntil(() => read().endsWith('idle'));
	const drained = front.drain();
	await waitUntil(() => socket.closed);
	return {drained};
}

function startStream(reply: Reply, bytes: Uint8Array): void {
	reply.start(200, ['content-type', 'text/event-stream']);
	reply.write(bytes);
}

const lastChunk = 'x\r\n0\r\n\r\n';

type Case = {
	readonly name: string;
	readonly bytes: string;
	readonly count?: number;
	readonly isLeaving?: boolean;
	readonly answer: (replies: readonly Reply[]) => void;
	readonly ending: string;
};

const answeredCases: readonly Case[] = [
	{
		name: 'a plain answer',
		bytes: formatRequest(),
		answer([reply]) {
			reply!.answer(200, [], large);
		},
		ending: 'x',
	},
	{
		name: 'an event stream',
		bytes: formatRequest(),
		answer([reply]) {
			startStream(reply!, large);
			reply!.end();
		},
		ending: lastChunk,
	},
	{
		name: 'an answer with `connection: close`',
		bytes: formatRequest(),
		isLeaving: true,
		answer([reply]) {
			reply!.answer(200, [], large);
		},
		ending: 'x',
	},
	{
		name: 'an answer to a caller that asked for `connection: close`',
		bytes: formatRequest('GET', ['Connection: close']),
		answer([reply]) {
			reply!.answer(200, [], large);
		},
		ending: 'x',
	},
	{
		name: 'answers to pipelined requests',
		bytes: formatRequest() + formatRequest(),
		count: 2,
		answer([first, second]) {
			second!.answer(200, [], Buffer.from('second'));
			first!.answer(200, [], large);
		},
		ending: 'second',
	},
	{
		name: 'answers to pipelined requests of a leaving node',
		bytes: formatRequest() + formatRequest(),
		count: 2,
		isLeaving: true,
		answer([first, second]) {
			second!.answer(200, [], Buffer.from('second'));
			first!.answer(200, [], large);
		},
		ending: 'second',
	},
];

for (const {name, bytes, count, isLeaving = false, answer, ending} of answeredCases) {
	test(`a draining node sends the rest of ${name} to a slow reader`, async t => {
		const front = await startFront(t);
		const {call, replies} = await sendUnread(front, bytes, count);
		if (isLeaving) {
			front.leave();
		}

		answer(replies);
		const {drained} = await drainPastIdle(front);
		call.socket.resume();
		await waitUntil(() => call.socket.closed);
		t.ok(call.countBytes() > largeBytes);
		t.ok(call.read().endsWith(ending));
		t.equal(call.error(), '');
		await drained;
	});
}

test('a draining node sends the rest of a pipelined answer whose request is still running', async t => {
	const front = await startFront(t);
	const {call, replies} = await sendUnread(front, formatRequest() + formatRequest(), 2);
	const [first, second] = replies;
	first!.answer(200, [], large);
	const {drained} = await drainPastIdle(front);
	call.socket.resume();
	await waitUntil(() => call.countBytes() > largeBytes || call.socket.closed);
	second!.answer(200, [], Buffer.from('second'));
	await waitUntil(() => call.socket.closed);
	t.ok(call.read().endsWith('second'));
	await drained;
});

test('a draining node runs a request whose body is still arriving, and closes its connection after the answer', async t => {
	const front = await startFront(t);
	const call = front.open();
	call.socket.write(formatRequest('POST', ['Content-Length: 4'], 'bo'));
	await waitUntil(() => front.metrics.total('gateway.requests') === 1);
	const {drained} = await drainPastIdle(front);
	call.socket.write('dy');
	await waitUntil(() => front.forwarded.length === 2 || call.socket.closed);
	front.forwarded.at(-1)!.reply.answer(200, [], Buffer.from('answer'));
	await waitUntil(() => call.socket.closed);
	t.ok(call.read().endsWith('answer'));
	await drained;
});

test('a connection on which nothing was sent does not hold up a draining node', async t => {
	const front = await startFront(t);
	const call = front.open();
	const {drained} = await drainPastIdle(front);
	await drained;
	await waitUntil(() => call.socket.closed);
	t.equal(call.read(), '');
});

test('a request that comes while a node drains is refused and reaches no endpoint', async t => {
	const front = await startFront(t);
	const {call, replies} = await sendUnread(front, formatRequest());
	call.socket.resume();
	const {drained} = await drainPastIdle(front);
	replies[0]!.answer(200, [], Buffer.from('answer'));
	await waitUntil(() => call.read().endsWith('answer'));
	call.socket.write(formatRequest());
	await waitUntil(() => call.socket.closed);
	t.match(call.read(), /answerHTTP\/1\.1 503 [\s\S]*ERR_VALVESADDLE_DRAINING/v);
	t.equal(front.forwarded.length, 2);
	await drained;
});

test('a request behind an answer with `connection: close` reaches no endpoint', async t => {
	const front = await startFront(t);
	const {call, replies} = await sendUnread(front, formatRequest());
	call.socket.resume();
	front.leave();
	replies[0]!.start(200, []);
	await waitUntil(() => call.read().endsWith('\r\n\r\n'));
	call.socket.write(formatRequest());
	await waitUntil(() => front.metrics.total('gateway.requests') === 2);
	replies[0]!.write(Buffer.from('x'));
	replies[0]!.end();
	await waitUntil(() => call.socket.closed);
	t.match(call.read(), /^http\/1\.1 200 [\s\S]*connection: close[\s\S]*1\r\nx\r\n0\r\n\r\n$/iv);
	t.equal(front.forwarded.length, 1);
});

test('a connection that is established but not accepted yet when a node drains is refused, not reset', async t => {
	const {front, open, forwarded} = await startFront(t);
	const {socket, read, error} = open();
	socket.write(formatRequest());
	// The system establishes the connection before the next turn, in which the front would accept it.
	const {promise: connected, resolve} = Promise.withResolvers<void>();
	process.nextTick(resolve);
	await connected;
	const drained = front.drain();
	await waitUntil(() => socket.closed);
	t.match(read(), /^HTTP\/1\.1 503 [\s\S]*ERR_VALVESADDLE_DRAINING/v);
	t.equal(error(), '');
	t.equal(forwarded.length, 0);
	await drained;
});
