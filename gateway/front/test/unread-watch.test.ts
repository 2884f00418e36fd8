// Guards against answers that a node holds for ever for callers that do not read, and against the end of those that read slowly.
import type {Socket} from 'node:net';
import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {createByteLedger} from '@valvesaddle/buffers';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createUnreadWatch} from '../src/create-unread-watch.ts';

const bytes = 100_000;
const stuckMs = 10_000;

type Caller = {
	/**
	Bytes that the system has not taken of the write in progress.
	*/
	queuedBytes: number;
	isBehind: boolean;
};

function startWatch(t: Test, limitBytes = 1_000_000, stillMs = stuckMs) {
	const clock = new Clock();
	t.teardown(clock.enter());
	const metrics = createMetrics();
	const ledger = createByteLedger({
		limitBytes, pressureShare: 0.5, accountShare: 1, waitMs: 500, aheadBytes: 0, unreadMs: 1000, stuckMs: stillMs,
	});
	const watch = createUnreadWatch({ledger, logger: createLogger({node: 'n', level: 'silent'}), metrics});
	const ended: string[] = [];

	function open(requestId: string, caller: Caller, deadlineMs = Infinity, account = requestId) {
		const hold = ledger.open(account, 1);
		const answer = {
			requestId,
			account,
			hold,
			deadlineAt: performance.now() + deadlineMs,
			findSocket: () => caller.isBehind ? undefined : {writableLength: bytes, _handle: {writeQueueSize: caller.queuedBytes}} as unknown as Socket,
			countUnsent: () => bytes,
			end() {
				ended.push(requestId);
			},
		};
		watch.update(answer);
		return answer;
	}

	function pass(milliseconds: number, step?: () => void): void {
		for (let passed = 0; passed < milliseconds; passed += 250) {
			clock.advance(250);
			step?.();
		}
	}

	return {
		ledger, metrics, ended, watch, open, pass,
	};
}

test('an answer that its caller never reads is kept while memory and time allow', t => {
	const {ledger, ended, open, pass} = startWatch(t);
	open('a', {queuedBytes: bytes, isBehind: false});
	pass(60_000);
	t.same(ended, []);
	t.equal(ledger.countBytes('unsent'), bytes);
	t.end();
});

test('it is ended after the time without progress once memory is needed', t => {
	const before = startWatch(t, 150_000, Infinity);
	before.open('a', {queuedBytes: bytes, isBehind: false}, 1000);
	before.pass(600_000);
	t.same(before.ended, [], 'kept for ever where there was no bound');
	const {ledger, metrics, ended, open, pass} = startWatch(t, 150_000);
	open('a', {queuedBytes: bytes, isBehind: false});
	pass(stuckMs - 500);
	t.same(ended, []);
	pass(1500);
	t.same(ended, ['a']);
	t.equal(ledger.countBytes(), 0);
	t.equal(metrics.total('gateway.stuck-answers'), 1);
	t.end();
});

test('it is ended once its time is over, with memory to spare', t => {
	const {ended, open, pass} = startWatch(t);
	open('a', {queuedBytes: bytes, isBehind: false}, 30_000);
	pass(29_500);
	t.same(ended, []);
	pass(1500);
	t.same(ended, ['a']);
	t.end();
});

test('an answer of which a byte a second is read is not ended, however long it takes, and holds no more than it did', t => {
	const {ledger, ended, open, pass} = startWatch(t, 150_000);
	const caller = {queuedBytes: bytes, isBehind: false};
	open('a', caller);
	let passed = 0;
	pass(120_000, () => {
		passed += 250;
		caller.queuedBytes = bytes - Math.floor(passed / 1000);
	});
	t.same(ended, []);
	t.equal(ledger.countBytes(), bytes);
	t.end();
});

test('an answer behind an open one of its connection does not wait for its caller', t => {
	const {ended, open, pass} = startWatch(t, 150_000);
	const caller = {queuedBytes: bytes, isBehind: true};
	open('a', caller);
	pass(60_000);
	t.same(ended, []);
	caller.isBehind = false;
	pass(stuckMs - 500);
	t.same(ended, [], 'its time begins when it is sent');
	pass(1500);
	t.same(ended, ['a']);
	t.end();
});

test('of many answers that nobody reads no more are ended than memory needs', t => {
	const {ledger, ended, open, pass} = startWatch(t);
	for (let caller = 0; caller < 10; caller++) {
		open(`c${caller}`, {queuedBytes: bytes, isBehind: false});
	}

	pass(60_000);
	t.equal(ended.length, 5);
	t.equal(ledger.countBytes(), 500_000);
	t.notOk(ledger.isPressed());
	t.end();
});

test('the account that holds most loses its answers first', t => {
	const {ended, open, pass} = startWatch(t);
	open('small', {queuedBytes: bytes, isBehind: false});
	for (let caller = 0; caller < 6; caller++) {
		open(`large ${caller}`, {queuedBytes: bytes, isBehind: false}, Infinity, 'large');
	}

	pass(60_000);
	t.same(ended, ['large 0', 'large 1']);
	t.end();
});
