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
Creates a store with one entry; with `isLost` it carries out writes but loses the answers.
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

test('the token is the revision of the entry, and is valid only while renewals are sent in time', async t => {
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
	t.equal(lease.token(), undefined, 'expires without a call');
});

/**
Guards against usage reports that lack requests: other nodes send their counts to the candidates only.
*/
test('a holder that is no longer a candidate releases the duty after a lease, and leaves it to others for a while', async t => {
	const clock = pauseClock(t);
	const {state, store} = createStore();
	const lease = startLease(t, store);
	await lease.update(true);
	clock.advance(500);
	await lease.update(false);
	clock.advance(1000);
	await lease.update(true);
	t.equal(lease.token(), 11, 'a short change of the plan');
	for (const _step of Array.from({length: 5})) {
		clock.advance(500);
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await lease.update(false);
	}

	t.equal(lease.token(), undefined);
	t.equal(state.entry, undefined);
	await lease.update(true);
	t.equal(lease.token(), undefined);
	clock.advance(4001);
	await lease.update(true);
	t.equal(lease.token(), 12);
});

test('a node that is not a candidate does not acquire the duty', async t => {
	pauseClock(t);
	const {state, store} = createStore();
	await startLease(t, store).update(false);
	t.equal(state.written, 0);
});

test('a write without an answer acquires the duty only if the entry names this process', async t => {
	pauseClock(t);
	const {state, store} = createStore();
	state.isLost = true;
	const ownLease = startLease(t, store);
	await ownLease.update(true);
	t.equal(ownLease.token(), 11);

	const other = createStore();
	other.state.entry = {text: '{"holder":"n1.before","attempt":1}', revision: 7};
	const otherLease = startLease(t, other.store);
	await otherLease.update(true);
	t.equal(otherLease.token(), undefined);
});

test('a node that lost the duty acquires it again only after a delay', async t => {
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
	t.equal(lease.token(), undefined, 'within the delay');
	clock.advance(200);
	await lease.update(true);
	t.equal(lease.token(), 12);
});

test('a raised token is higher, and a token that cannot be raised is not used again', async t => {
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

test('a node that the store no longer names as the holder does not act', async t => {
	pauseClock(t);
	const {state, store} = createStore();
	const lease = startLease(t, store);
	await lease.update(true);
	t.equal(await lease.confirm(), true);
	state.entry = {text: 'n2', revision: 40};
	t.equal(await lease.confirm(), false);
	t.equal(lease.token(), undefined);
});

test('a node that shuts down releases the duty at once and does not acquire it again', async t => {
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
Guards against a release that runs before the answer to the acquiring write: the entry would stay until its lease expires.
*/
test('a duty that is being acquired when the node shuts down is released too', async t => {
	pauseClock(t);
	const {state, store} = createStore();
	const lease = startLease(t, store);
	const acquiring = lease.update(true);
	const releasing = lease.release();
	await Promise.all([acquiring, releasing]);
	t.equal(state.entry, undefined);
	t.equal(lease.token(), undefined);
});
