import {Clock} from 'clock-mock';
import {errAsync, okAsync} from 'neverthrow';
import {test, type Test} from 'tap';
import type {DutyStore, StoredEntry} from '@valvesaddle/duty-types';
import {ValvesaddleError} from '@valvesaddle/error';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createDutyLease} from '@valvesaddle/duty-lease';

const down = () => errAsync(new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'down'));

/**
A store that holds one entry; `isLost` makes its writes be done without an answer.
*/
function createStore() {
	const state: {entry: StoredEntry | undefined; isDown: boolean; isLost: boolean; revision: number; written: number} = {
		entry: undefined, isDown: false, isLost: false, revision: 10, written: 0,
	};
	const store: DutyStore = {
		openLease: () => state.isDown ? down() : okAsync('l1'),
		renew: () => state.isDown ? down() : okAsync(state.entry !== undefined),
		release() {
			state.entry = undefined;
			return okAsync(undefined);
		},
		write({text, expected}) {
			state.written++;
			if (state.isDown) {
				return down();
			}

			if ((state.entry?.revision ?? 0) !== expected) {
				return okAsync(undefined);
			}

			state.revision++;
			state.entry = {text, revision: state.revision};
			return state.isLost ? down() : okAsync(state.revision);
		},
		read: () => state.isDown ? down() : okAsync(state.entry),
	};
	return {state, store};
}

function startLease(t: Test, store: DutyStore, holder = 'n1.a') {
	return createDutyLease({
		store, key: 'holder', holder, leaseMs: 2000, reacquireDelayMs: 4000, logger: createLogger({node: holder, level: 'silent'}), metrics: createMetrics(),
	});
}

function pauseClock(t: Test): Clock {
	const clock = new Clock();
	t.teardown(clock.enter());
	clock.advance(1_000_000);
	return clock;
}

test('the token is the revision of the entry, and holds only while renewals were sent in time', async t => {
	const clock = pauseClock(t);
	const {state, store} = createStore();
	const lease = startLease(t, store);
	await lease.update(true);
	t.equal(lease.token(), 11);
	clock.advance(1500);
	await lease.update(true);
	t.equal(lease.token(), 11);
	state.isDown = true;
	clock.advance(1500);
	await lease.update(true);
	t.equal(lease.token(), 11, 'one renewal failed');
	clock.advance(200);
	t.equal(lease.token(), undefined, 'no longer, whether or not anything is called');
});

test('a node that is no candidate takes nothing', async t => {
	pauseClock(t);
	const {state, store} = createStore();
	await startLease(t, store).update(false);
	t.equal(state.written, 0);
});

test('a creation without an answer is this process’s own only if the entry names it', async t => {
	pauseClock(t);
	const {state, store} = createStore();
	state.isLost = true;
	const mine = startLease(t, store);
	await mine.update(true);
	t.equal(mine.token(), 11);

	const other = createStore();
	other.state.entry = {text: '{"holder":"n1.before","attempt":1}', revision: 7};
	const lease = startLease(t, other.store);
	await lease.update(true);
	t.equal(lease.token(), undefined);
});

test('a holder that has lost the duty leaves it to others for a while', async t => {
	const clock = pauseClock(t);
	const {state, store} = createStore();
	const lease = startLease(t, store);
	await lease.update(true);
	state.entry = undefined;
	await lease.update(true);
	t.equal(lease.token(), undefined);
	lease.markFree();
	clock.advance(3900);
	await lease.update(true);
	t.equal(lease.token(), undefined, 'aside');
	clock.advance(200);
	await lease.update(true);
	t.equal(lease.token(), 12);
});

test('a raised token is higher, and one that cannot be raised is not used again', async t => {
	pauseClock(t);
	const {state, store} = createStore();
	const lease = startLease(t, store);
	await lease.update(true);
	t.equal(await lease.raiseToken(), 12);
	t.equal(lease.token(), 12);
	state.isDown = true;
	t.equal(await lease.raiseToken(), undefined);
	t.equal(lease.token(), undefined);
});

test('a node that the store names no longer does not act', async t => {
	pauseClock(t);
	const {state, store} = createStore();
	const lease = startLease(t, store);
	await lease.update(true);
	t.equal(await lease.confirm(), true);
	state.entry = {text: 'n2', revision: 40};
	t.equal(await lease.confirm(), false);
	t.equal(lease.token(), undefined);
});

test('a node that leaves hands over at once and takes nothing more', async t => {
	pauseClock(t);
	const {state, store} = createStore();
	const lease = startLease(t, store);
	await lease.update(true);
	await lease.release();
	t.equal(state.entry, undefined);
	await lease.update(true);
	t.equal(lease.token(), undefined);
});

/**
The entry was in the store, but the answer to the node's write was still on its way when the node was told to leave: it then
held nothing that it could hand over, and the entry stayed until its lease lapsed.
*/
test('a duty that is being taken when the node leaves is handed over too', async t => {
	pauseClock(t);
	const {state, store} = createStore();
	const lease = startLease(t, store);
	const taking = lease.update(true);
	const leaving = lease.release();
	await Promise.all([taking, leaving]);
	t.equal(state.entry, undefined);
	t.equal(lease.token(), undefined);
});
