// Guards against answers that fill a node's memory, and against endpoints that are kept from finishing by slow callers.
import {Buffer} from 'node:buffer';
import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import {createByteLedger, type BufferLimits, type ByteHold} from '@valvesaddle/buffers';
import {createCallerPace} from '../src/create-caller-pace.ts';
import {eventStream, startForwarding, wholeAnswer} from './start-forwarding.ts';

const limits: BufferLimits = {
	limitBytes: 10_000_000, pressureShare: 0.5, accountShare: 0.5, waitMs: 500, aheadBytes: 100_000, unreadMs: 1000, stuckMs: 10_000,
};
const chunkBytes = 10_000;
const event = Buffer.from(`data: ${'x'.repeat(chunkBytes - 8)}\n\n`);

/**
A caller that does not read, and the endpoint of its stream.
*/
function openMute(hold: ByteHold | undefined) {
	let unsentBytes = 0;
	let pauses = 0;
	let isPaused = false;
	let drain: (() => void) | undefined;
	const pace = createCallerPace({
		writer: {
			write({length}) {
				unsentBytes += length;
				hold?.set('unsent', unsentBytes);
				return false;
			},
			onDrain(resume) {
				drain = resume;
			},
		},
		hold,
		onPaused() {
			isPaused = true;
			pauses++;
		},
		onResumed() {
			isPaused = false;
		},
	});
	return {
		pace,
		isPaused: () => isPaused,
		countUnsent: () => unsentBytes,
		countPauses: () => pauses,
		/**
		The endpoint sends as much as it is read, up to a number of chunks.
		*/
		sendChunks(most: number) {
			if (isPaused) {
				return;
			}

			let sent = 0;
			while (sent < most && pace.write(event) === 'more') {
				sent++;
			}
		},
		read() {
			unsentBytes = 0;
			hold?.set('unsent', 0);
			drain?.();
		},
	};
}

function startClock(t: Test): Clock {
	const clock = new Clock();
	t.teardown(clock.enter());
	return clock;
}

test('an endpoint is read ahead of a caller that does not read, where it was paused at once before', t => {
	startClock(t);
	const before = openMute(undefined);
	before.sendChunks(8);
	t.ok(before.isPaused());
	t.equal(before.countUnsent(), chunkBytes);
	const caller = openMute(createByteLedger(limits).open('a', 1));
	caller.sendChunks(8);
	t.notOk(caller.isPaused(), 'a short answer ends, and its endpoint is free');
	caller.sendChunks(100);
	t.ok(caller.isPaused());
	t.equal(caller.countUnsent(), limits.aheadBytes);
	t.end();
});

test('a paused endpoint is read on before it gives up the answer, and again when the caller has read', t => {
	const clock = startClock(t);
	const caller = openMute(createByteLedger(limits).open('a', 1));
	caller.sendChunks(100);
	for (let second = 1; second <= 5; second++) {
		clock.advance(limits.unreadMs);
		t.notOk(caller.isPaused());
		caller.sendChunks(100);
		t.equal(caller.countUnsent(), limits.aheadBytes + (second * chunkBytes));
	}

	caller.read();
	t.notOk(caller.isPaused());
	caller.sendChunks(5);
	caller.pace.end();
	clock.advance(60_000);
	t.equal(caller.countPauses(), 6, 'nothing goes on after the end');
	t.end();
});

test('of 200 streams that nobody reads an account holds its part, and another account is read ahead as before', t => {
	const clock = startClock(t);
	const ledger = createByteLedger(limits);
	const callers = Array.from({length: 200}, () => openMute(ledger.open('large', 1)));
	for (let second = 0; second < 30; second++) {
		for (const caller of callers) {
			caller.sendChunks(100);
		}

		clock.advance(limits.unreadMs);
	}

	// One chunk of each is in transit when its endpoint is paused.
	t.ok(ledger.countBytes() <= (limits.limitBytes / 2) + (callers.length * chunkBytes), `${ledger.countBytes()} bytes`);
	const other = openMute(ledger.open('small', 1));
	other.sendChunks(100);
	t.equal(other.countUnsent(), limits.aheadBytes);
	t.end();
});

test('a whole answer is kept until it is whole, and passed on as it comes when its account holds its part', t => {
	const ledger = createByteLedger(limits);
	const hold = ledger.open('large', 1);
	const {listeners, events, answers} = startForwarding(t, {kind: 'safe', answer: wholeAnswer, hold});
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(Buffer.alloc(200_000));
	t.equal(ledger.countBytes('received'), 200_000);
	t.same([events.length, answers.length], [0, 0]);
	ledger.open('large', 1).set('unsent', 6_000_000);
	listeners[0]?.onData(Buffer.alloc(10_000));
	t.equal(ledger.countBytes('received'), 0);
	t.equal(events.join('').length, 210_000);
	listeners[0]?.onData(Buffer.from('rest'));
	listeners[0]?.onEnd();
	t.equal(events.join('').length, 210_004);
	t.end();
});

test('an answer that is ready is delivered however full the node is', t => {
	const ledger = createByteLedger(limits);
	const {listeners, answers} = startForwarding(t, {kind: 'safe', answer: wholeAnswer, hold: ledger.open('large', 1)});
	ledger.open('large', 1).set('unsent', 20_000_000);
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(Buffer.from('short'));
	listeners[0]?.onEnd();
	t.same(answers, ['short']);
	t.equal(ledger.countBytes('received'), 0);
	t.end();
});

test('a stream holds its incomplete event, and nothing after its attempt has ended', t => {
	const ledger = createByteLedger(limits);
	const {listeners, task} = startForwarding(t, {kind: 'stream', answer: eventStream, hold: ledger.open('a', 1)});
	listeners[0]?.onSent();
	listeners[0]?.onHead(200, {});
	listeners[0]?.onData(Buffer.alloc(5000, 'x'));
	t.equal(ledger.countBytes('received'), 5000);
	task.cancel();
	t.equal(ledger.countBytes('received'), 0);
	t.end();
});
