// Guards against callers that send or read slowly, or not at all, and fill a node's memory.
import {Buffer} from 'node:buffer';
import {test, type Test} from 'tap';
import {createByteLedger, type BufferLimits} from '@valvesaddle/buffers';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {formatRequest} from './format-request.ts';
import {startFront} from './start-front.ts';

const limits: BufferLimits = {
	limitBytes: 1_000_000, pressureShare: 0.5, accountShare: 0.5, waitMs: 60_000, aheadBytes: 0, unreadMs: 1000, stuckMs: 60_000,
};
const bodyBytes = 50_000;
/**
More than the buffers of a connection hold.
*/
const largeBytes = 6 * 1024 * 1024;

async function startHolding(t: Test, changed: Partial<BufferLimits> = {}) {
	const ledger = createByteLedger({...limits, ...changed});
	return {ledger, ...await startFront(t, {}, ledger)};
}

function formatBody(account: string, headers: readonly string[], body: string): string {
	return formatRequest('POST', [`Authorization: Bearer ${account}`, ...headers], body);
}

/**
Opens callers that announce a body and send one byte of it.
*/
function openSlowBodies({open}: Pick<Awaited<ReturnType<typeof startFront>>, 'open'>, account: string, count: number) {
	return Array.from({length: count}, () => {
		const caller = open();
		caller.socket.write(formatBody(account, [`Content-Length: ${bodyBytes}`], 'x'));
		return caller;
	});
}

test('of 200 bodies that one account sends a byte a second, its part is held, and another account is served as before', async t => {
	const front = await startHolding(t);
	const callers = openSlowBodies(front, 'large', 200);
	await waitUntil(() => callers.filter(({hasEnded}) => hasEnded()).length === 190);
	t.equal(front.ledger.countBytes('body'), 500_000);
	t.equal(front.metrics.total('gateway.held-refused'), 190);
	const refused = callers.find(({hasEnded}) => hasEnded())!;
	t.match(refused.read(), /^HTTP\/1\.1 503 [\s\S]*retry-after: \d[\s\S]*"code":"ERR_VALVESADDLE_BUFFERS_FULL"[\s\S]*"ran":"no"/v);

	const other = front.open();
	other.socket.write(formatBody('small', [`Content-Length: ${bodyBytes}`], 'x'.repeat(bodyBytes)));
	await waitUntil(() => front.forwarded.length === 1);
	t.equal(front.forwarded[0]!.request.account?.name, 'small');
	t.equal(front.forwarded[0]!.request.body?.length, bodyBytes);
	front.forwarded[0]!.reply.answer(200, [], Buffer.from('done'));
	await waitUntil(() => other.read().endsWith('done'));

	// A body that goes on is read to its end.
	const slow = callers.find(({hasEnded}) => !hasEnded())!;
	slow.socket.write('x'.repeat(bodyBytes - 1));
	await waitUntil(() => front.forwarded.length === 2);
	for (const {socket} of callers) {
		socket.destroy();
	}

	await waitUntil(() => front.ledger.countBytes() === 0);
});

test('without bounds all of them are read, as before', async t => {
	const front = await startFront(t);
	const callers = openSlowBodies(front, 'large', 200);
	await waitUntil(() => front.metrics.total('gateway.requests') === 200);
	for (const {socket} of callers) {
		socket.write('x'.repeat(bodyBytes - 1));
	}

	await waitUntil(() => front.forwarded.length === 200);
	t.equal(front.forwarded[0]!.request.hold, undefined);
});

test('a body waits unread while the node is full, and is passed on once there is room', async t => {
	const front = await startHolding(t);
	const full = ['a', 'b', 'c', 'd'].map(account => {
		const hold = front.ledger.open(account, 1);
		hold.set('unsent', 249_000);
		return hold;
	});
	const caller = front.open();
	caller.socket.write(formatBody('small', [`Content-Length: ${bodyBytes}`], 'x'.repeat(bodyBytes)));
	await waitUntil(() => front.ledger.countWaiting() === 1);
	t.equal(front.forwarded.length, 0);
	full[0]!.release();
	await waitUntil(() => front.forwarded.length === 1);
	t.equal(front.forwarded[0]!.request.body?.length, bodyBytes);
});

test('a body that finds no room in time is refused as not run', async t => {
	const front = await startHolding(t, {waitMs: 50});
	for (const account of ['a', 'b', 'c', 'd']) {
		front.ledger.open(account, 1).set('unsent', 249_000);
	}

	const caller = front.open();
	caller.socket.write(formatBody('small', [`Content-Length: ${bodyBytes}`], 'x'.repeat(bodyBytes)));
	await waitUntil(() => caller.read().endsWith('}'));
	t.match(caller.read(), /^HTTP\/1\.1 503 [\s\S]*ERR_VALVESADDLE_BUFFERS_FULL[\s\S]*"ran":"no"/v);
	t.equal(front.forwarded.length, 0);
	t.equal(front.ledger.countBytes('body'), 0);
	t.equal(front.ledger.countWaiting(), 0);
});

test('a body whose caller leaves while it waits is forgotten', async t => {
	const front = await startHolding(t);
	for (const account of ['a', 'b', 'c', 'd']) {
		front.ledger.open(account, 1).set('unsent', 249_000);
	}

	const caller = front.open();
	caller.socket.write(formatBody('small', [`Content-Length: ${bodyBytes}`], 'x'.repeat(bodyBytes)));
	await waitUntil(() => front.ledger.countWaiting() === 1);
	caller.socket.destroy();
	await waitUntil(() => front.ledger.countWaiting() === 0);
	t.equal(front.ledger.countBytes('body'), 0);
	t.equal(front.forwarded.length, 0);
	t.equal(front.metrics.total('gateway.held-refused'), 0);
});

test('a body of unknown length is refused when it outgrows the room', async t => {
	const front = await startHolding(t);
	const caller = front.open();
	caller.socket.write(formatBody('large', ['Transfer-Encoding: chunked'], ''));
	for (let chunk = 0; chunk < 12; chunk++) {
		caller.socket.write(`c350\r\n${'x'.repeat(bodyBytes)}\r\n`);
	}

	await waitUntil(() => caller.hasEnded());
	t.match(caller.read(), /^HTTP\/1\.1 503 [\s\S]*ERR_VALVESADDLE_BUFFERS_FULL/v);
	t.equal(front.metrics.total('gateway.held-refused'), 1);
	await waitUntil(() => front.ledger.countBytes() === 0);
});

test('what waits for a caller is counted until it is read, and its answer is whole', async t => {
	const front = await startHolding(t, {limitBytes: 100_000_000});
	const caller = front.open();
	caller.socket.pause();
	caller.socket.write(formatRequest());
	await waitUntil(() => front.forwarded.length === 1);
	front.forwarded[0]!.reply.answer(200, [], Buffer.alloc(largeBytes, 'x'));
	t.ok(front.ledger.countBytes('unsent') > 0);
	caller.socket.resume();
	await waitUntil(() => caller.countBytes() > largeBytes);
	await waitUntil(() => front.ledger.countBytes() === 0);
	t.equal(front.metrics.total('gateway.stuck-answers'), 0);
});

for (const kind of ['whole', 'stream', 'open stream'] as const) {
	test(`an answer that its caller never reads is ended when memory is needed, and does not look complete: ${kind}`, async t => {
		const front = await startHolding(t, {stuckMs: 250});
		const caller = front.open();
		caller.socket.pause();
		caller.socket.write(formatRequest());
		await waitUntil(() => front.forwarded.length === 1);
		const {reply, failures} = front.forwarded[0]!;
		const bytes = Buffer.alloc(largeBytes, 'x');
		if (kind === 'whole') {
			reply.answer(200, [], bytes);
		} else {
			reply.start(200, []);
			reply.write(bytes);
		}

		if (kind === 'stream') {
			reply.end();
		}

		await waitUntil(() => front.metrics.total('gateway.stuck-answers') === 1);
		if (kind === 'open stream') {
			t.match(failures(), [{endedBy: 'node', cause: 'unread'}]);
			reply.abort(failures()[0]!);
		}

		await waitUntil(() => front.metrics.total('gateway.incomplete-answers') === 1);
		t.equal(front.ledger.countBytes(), 0);
		caller.socket.resume();
		await waitUntil(() => caller.socket.closed);
		t.ok(caller.countBytes() < largeBytes);
		t.notOk(caller.read().endsWith('0\r\n\r\n'));
	});
}

test('nothing is held any more for pipelined requests whose caller disconnects', async t => {
	const front = await startHolding(t);
	const caller = front.open();
	const body = 'x'.repeat(1000);
	for (let request = 0; request < 3; request++) {
		caller.socket.write(formatBody('small', ['Content-Length: 1000'], body));
	}

	await waitUntil(() => front.forwarded.length === 3);
	front.forwarded[1]!.reply.answer(200, [], Buffer.from('second'));
	t.ok(front.ledger.countBytes() > 3000);
	caller.socket.destroy();
	await waitUntil(() => front.ledger.countBytes() === 0);
	t.ok(front.forwarded[2]!.isCancelled());
});
