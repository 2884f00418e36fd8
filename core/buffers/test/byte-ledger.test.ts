// Guards against bytes that are counted after their request has ended, and bodies that wait for ever.
import {Clock} from 'clock-mock';
import fc from 'fast-check';
import {test, type Test} from 'tap';
import {createByteLedger, type BufferLimits, type ByteHold} from '@valvesaddle/buffers';

const limits: BufferLimits = {
	limitBytes: 1000, pressureShare: 0.5, accountShare: 0.6, waitMs: 500, aheadBytes: 100, unreadMs: 1000, stuckMs: 5000,
};

function startLedger(t: Test) {
	const clock = new Clock();
	t.teardown(clock.enter());
	return {clock, ledger: createByteLedger(limits)};
}

async function waitTurn(): Promise<void> {
	for (let turn = 0; turn < 5; turn++) {
		// eslint-disable-next-line no-await-in-loop -- lets settled promises run
		await Promise.resolve();
	}
}

test('what is held is the sum over open requests, and nothing after all are released', t => {
	const kinds = ['body', 'received', 'unsent'] as const;
	const step = fc.record({
		request: fc.integer({min: 0, max: 5}), kind: fc.constantFrom(...kinds), bytes: fc.integer({min: 0, max: 900}), isEnd: fc.boolean(),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
		const ledger = createByteLedger(limits);
		const holds: ByteHold[] = Array.from({length: 6}, (_hold, index) => ledger.open(`account ${index % 3}`, 1));
		const expected = new Map<string, number>();
		for (const {request, kind, bytes, isEnd} of steps) {
			holds[request]!.set(kind, bytes);
			expected.set(`${request} ${kind}`, bytes);
			if (!isEnd) {
				continue;
			}

			holds[request]!.release();
			holds[request] = ledger.open(`account ${request % 3}`, 1);
			for (const name of kinds) {
				expected.delete(`${request} ${name}`);
			}
		}

		const isSame = ledger.countBytes() === expected.values().reduce((sum, bytes) => sum + bytes, 0);
		for (const hold of holds) {
			hold.release();
			hold.set('unsent', 10);
		}

		return isSame && ledger.countBytes() === 0 && !ledger.isPressed();
	}));
	t.end();
});

test('a body waits while the node is full, and is held once there is room', async t => {
	const {ledger} = startLedger(t);
	const [first, second, third] = [ledger.open('a', 1), ledger.open('b', 1), ledger.open('c', 1)];
	first.set('unsent', 500);
	second.set('unsent', 480);
	let isHeld: boolean | undefined;
	const waiting = third.acquireBody(100);
	void waiting.then(held => {
		isHeld = held;
	});
	await waitTurn();
	t.equal(isHeld, undefined);
	t.equal(ledger.countWaiting(), 1);
	t.ok(ledger.isPressed());
	second.set('unsent', 300);
	t.equal(await waiting, true);
	t.equal(ledger.countBytes('body'), 100);
});

test('a body that waits too long, or whose caller leaves, is not held', async t => {
	const {clock, ledger} = startLedger(t);
	for (const account of ['a', 'b']) {
		ledger.open(account, 1).set('unsent', 500);
	}

	const late = ledger.open('c', 1).acquireBody(100);
	clock.advance(500);
	t.equal(await late, false);
	const left = ledger.open('d', 1);
	const waiting = left.acquireBody(100);
	left.release();
	t.equal(await waiting, false);
	t.equal(ledger.countWaiting(), 0);
	t.equal(ledger.countBytes('body'), 0);
});

test('of the bodies that wait the most urgent is held first, then the one of the account that holds least', async t => {
	const {ledger} = startLedger(t);
	const full = ledger.open('a', 1);
	full.set('unsent', 560);
	ledger.open('b', 1).set('unsent', 100);
	ledger.open('c', 1).set('unsent', 340);
	const order: string[] = [];
	const waiting = ([['b', 3], ['d', 3], ['e', 1]] as const).map(async ([account, urgency]) => {
		const isHeld = await ledger.open(account, urgency).acquireBody(100);
		order.push(`${account} ${isHeld}`);
	});
	await waitTurn();
	t.equal(ledger.countWaiting(), 3);
	for (const bytes of [460, 360, 260]) {
		full.set('unsent', bytes);
		// eslint-disable-next-line no-await-in-loop -- one step after the other
		await waitTurn();
	}

	await Promise.all(waiting);
	t.same(order, ['e true', 'd true', 'b true']);
});

test('no more than a bounded number of bodies waits', async t => {
	const {ledger} = startLedger(t);
	for (const account of ['a', 'b']) {
		ledger.open(account, 1).set('unsent', 500);
	}

	const waiting = Array.from({length: 300}, async () => ledger.open('c', 1).acquireBody(1));
	await waitTurn();
	t.ok(ledger.countWaiting() < 300);
	t.equal(await waiting.at(-1), false);
});
