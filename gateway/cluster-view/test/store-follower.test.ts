import {
	err,
	errAsync,
	ok,
	okAsync,
	type Result,
	ResultAsync,
} from 'neverthrow';
import {test, type Test} from 'tap';
import {ValvesaddleError} from '@valvesaddle/error';
import {startFakeFleetStore} from '@valvesaddle/fake-fleet-store';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {createFleetStore} from '@valvesaddle/fleet-store';
import type {ClusterChanges} from '@valvesaddle/gateway-types';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createClusterView, createStoreFollower} from '@valvesaddle/cluster-view';

const service = {
	service: 'p', address: '10.0.0.1:80', zone: 'a', version: 'v1', slots: 4, state: 'ready', 'cold-remaining-ms': 0, sequence: 1,
};

/**
Timeout of calls in tests that don't need one. Long, so that high CPU load causes no timeouts.
*/
const longTimeoutMs = 10_000;

type FollowerChange = {
	readonly timeoutMs?: number;
	readonly removalGraceMs?: number;
	readonly isNeeded?: () => boolean;
};

async function startFollower(t: Test, {timeoutMs = longTimeoutMs, removalGraceMs = 50, isNeeded = () => true}: FollowerChange = {}) {
	const server = await startFakeFleetStore();
	server.put('op/config', {version: 1, routes: [], services: []});
	for (const id of ['i-1', 'i-2', 'i-3', 'i-4']) {
		server.put(`servers/${id}`, service);
	}

	const logger = createLogger({node: 'n', level: 'silent'});
	const metrics = createMetrics();
	const store = createFleetStore({
		address: server.address, timeoutMs, onCall() {
		// Calls are not counted here.
		},
	});
	const view = createClusterView({logger, metrics});
	const follower = createStoreFollower({
		store,
		view,
		self: {
			id: 'n1', address: '10.0.0.9:7', token: 'secret', dataCentre: 'a', capacity: 1,
		},
		watchMs: 20_000,
		gatherMs: 1,
		settleMs: 1,
		retryMs: 10,
		leaseMs: 4000,
		renewMs: 250,
		removalGraceMs,
		isFollower: () => true,
		isNeeded,
		logger,
		metrics,
	});
	t.teardown(async () => {
		await follower.close();
		view.close();
		await store.close();
		await server.close();
	});
	follower.start();
	await waitUntil(() => view.endpoints().length === 4);
	return {server, view, follower};
}

test('a node reads every page of the store and every change', async t => {
	const {server, view} = await startFollower(t);
	t.equal(view.configuration()?.version, 1);
	server.put('servers/i-2', {...service, state: 'draining'});
	server.remove('servers/i-3');
	server.put('op/config', {version: 5, routes: [], services: []});
	await waitUntil(() => view.configuration()?.version === 5);
	await waitUntil(() => view.endpoints().length === 3);
	t.equal(view.endpoints().find(({id}) => id === 'i-2')?.state, 'draining');
});

test('a node registers, and again when its lease has expired', async t => {
	const {server, view} = await startFollower(t);
	await waitUntil(() => view.nodes().some(({id}) => id === 'n1'));
	server.endLeases();
	t.notOk(server.keys().includes('gateway/nodes/n1'));
	await waitUntil(() => server.keys().includes('gateway/nodes/n1'));
	await waitUntil(() => view.nodes().some(({id}) => id === 'n1'));
	t.equal(view.nodes().length, 1);
});

test('a store that has compacted its history is listed again', async t => {
	const {server, view} = await startFollower(t);
	// The node's own entry arrived by a watch, so the next watch is waiting.
	await waitUntil(() => view.nodes().length === 1 && (server.calls().get('kv-watch') ?? 0) >= 1);
	server.setFault('compact');
	server.cut();
	server.remove('servers/i-1');
	await waitUntil(() => view.endpoints().length === 3);
	t.ok((server.calls().get('kv-range') ?? 0) >= 2);
});

test('renewals detect an unresponsive store while the watch waits, and all changes arrive when it answers again', async t => {
	const {server, view, follower} = await startFollower(t, {timeoutMs: 100});
	await waitUntil(() => view.nodes().length === 1);
	server.setFault('silent');
	await waitUntil(() => !follower.isReachable());
	server.put('op/config', {version: 9, routes: [], services: []});
	t.equal(view.endpoints().length, 4, 'the view keeps its entries');
	server.setFault(undefined);
	await waitUntil(() => view.configuration()?.version === 9);
});

test('endpoints whose lease expired while the store refused calls are kept until the grace period is over', async t => {
	const {server, view, follower} = await startFollower(t, {removalGraceMs: 3_600_000});
	server.setFault('refuse');
	await waitUntil(() => !follower.isReachable());
	server.remove('servers/i-1');
	server.remove('servers/i-2');
	server.setFault(undefined);
	await waitUntil(() => follower.isReachable());
	server.put('servers/i-5', service);
	await waitUntil(() => view.endpoints().some(({id}) => id === 'i-5'));
	t.same(view.endpoints().map(({id}) => id), ['i-1', 'i-2', 'i-3', 'i-4', 'i-5']);
	t.notOk(follower.isSteady(), 'peers do not treat missing entries as removed');
});

test('a call that began before the store was reachable again and fails later does not begin a new outage', async t => {
	const renewal = Promise.withResolvers<void>();
	const failure = new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'timed out');
	let isUnavailable = false;
	let isReachableAgain = false;
	let gracePeriods = 0;
	let renewals = 0;
	const never = new Promise(() => {
		// Waits for changes that never arrive.
	});
	const watchEnd = Promise.withResolvers<void>();
	const logger = createLogger({node: 'n', level: 'silent'});
	const metrics = createMetrics();
	const view = createClusterView({logger, metrics});
	const follower = createStoreFollower({
		store: {
			list: () => isUnavailable ? errAsync(failure) : okAsync({revision: 1, changes: []}),
			watch: () => new ResultAsync((isReachableAgain ? never : watchEnd.promise).then(() => err(failure))),
			register: () => okAsync('lease'),
			renew() {
				renewals++;
				return renewals > 1 ? okAsync(true) : new ResultAsync(renewal.promise.then(() => err(failure)));
			},
			release: () => okAsync(undefined),
			async close() {
				// Nothing to close.
			},
		},
		view: {
			...view,
			setRemovalGraceUntil(time) {
				gracePeriods++;
				view.setRemovalGraceUntil(time);
			},
		},
		self: {
			id: 'n1', address: '10.0.0.9:7', token: 'secret', dataCentre: 'a', capacity: 1,
		},
		watchMs: 20_000, gatherMs: 1, settleMs: 1, retryMs: 2, leaseMs: 4000, renewMs: 2, removalGraceMs: 60_000, isFollower: () => true, isNeeded: () => true, logger, metrics,
	});
	t.teardown(async () => {
		await follower.close();
		view.close();
	});
	follower.start();
	await waitUntil(() => renewals === 1);
	isUnavailable = true;
	watchEnd.resolve();
	await waitUntil(() => !follower.isReachable());
	isUnavailable = false;
	isReachableAgain = true;
	await waitUntil(() => follower.isReachable());
	const failures = metrics.total('gateway.store-failures');
	renewal.resolve();
	await waitUntil(() => metrics.total('gateway.store-failures') > failures);
	t.ok(follower.isReachable());
	await waitUntil(() => renewals > 3);
	t.equal(gracePeriods, 1, 'the grace period begins once');
});

/**
Starts a follower of a fake store whose registrations fail from the first watch on, until `isUnavailable` is unset. The watch never
answers.
*/
function startUnregistered(t: Test, isNeeded: () => boolean) {
	const failure = new ValvesaddleError('ERR_VALVESADDLE_KV_UNAVAILABLE', 'refused');
	const state = {
		isUnavailable: false, lists: 0, registrations: 0, renewals: 0, gracePeriods: 0,
	};
	const signals: Array<AbortSignal | undefined> = [];
	const isWatching = Promise.withResolvers<void>();
	const never = new Promise<Result<ClusterChanges, ValvesaddleError>>(() => {
		// Waits for changes that never arrive.
	});
	const logger = createLogger({node: 'n', level: 'silent'});
	const metrics = createMetrics();
	const view = createClusterView({logger, metrics});
	const follower = createStoreFollower({
		store: {
			list() {
				state.lists++;
				return state.isUnavailable ? errAsync(failure) : okAsync({revision: 1, changes: []});
			},
			watch(_after, _waitMs, signal) {
				signals.push(signal);
				state.isUnavailable = state.lists === 1;
				isWatching.resolve();
				return new ResultAsync(never);
			},
			register() {
				state.registrations++;
				return new ResultAsync(isWatching.promise.then(() => state.isUnavailable ? err(failure) : ok('lease')));
			},
			renew() {
				state.renewals++;
				return okAsync(true);
			},
			release: () => okAsync(undefined),
			async close() {
				// Nothing to close.
			},
		},
		view: {
			...view,
			setRemovalGraceUntil(time) {
				state.gracePeriods++;
				view.setRemovalGraceUntil(time);
			},
		},
		self: {
			id: 'n1', address: '10.0.0.9:7', token: 'secret', dataCentre: 'a', capacity: 1,
		},
		watchMs: 20_000, gatherMs: 1, settleMs: 1, retryMs: 2, leaseMs: 4000, renewMs: 2, removalGraceMs: 60_000, isFollower: () => true, isNeeded, logger, metrics,
	});
	t.teardown(async () => {
		await follower.close();
		view.close();
	});
	follower.start();
	return {state, signals, follower};
}

test('a registration detects a store that is lost before the node is registered, while the watch waits', async t => {
	const {state, follower} = startUnregistered(t, () => true);
	await waitUntil(() => state.registrations > 1);
	t.notOk(follower.isReachable());
	t.ok(state.lists > 1, 'the pending watch does not delay the next list');
	state.isUnavailable = false;
	await waitUntil(() => state.renewals > 0);
	t.ok(follower.isReachable());
	t.equal(state.gracePeriods, 1, 'the grace period begins');
});

test('a watch that is no longer waited for is aborted, so that it occupies no connection', async t => {
	const {state, signals, follower} = startUnregistered(t, () => true);
	await waitUntil(() => state.registrations > 1);
	t.match(signals, [{aborted: true}]);
	state.isUnavailable = false;
	await waitUntil(() => signals.length === 2);
	t.match(signals, [{aborted: true}, {aborted: false}]);
	await follower.close();
	await waitUntil(() => signals[1]?.aborted ?? true);
	t.match(signals, [{aborted: true}, {aborted: true}]);
});

test('a node that lost the store before it was registered registers later, even when others watch for it by then', async t => {
	let isNeeded = true;
	const {state, follower} = startUnregistered(t, () => isNeeded);
	await waitUntil(() => state.registrations > 0);
	isNeeded = false;
	await waitUntil(() => state.isUnavailable && state.registrations > 1);
	state.isUnavailable = false;
	await waitUntil(() => state.renewals > 0);
	t.ok(follower.isReachable());
});

test('a node for which others watch makes no calls except renewals, and watches again when needed', async t => {
	let isNeeded = true;
	const {server, view, follower} = await startFollower(t, {isNeeded: () => isNeeded});
	await waitUntil(() => follower.isSteady() && view.nodes().length === 1);
	isNeeded = false;
	server.put('servers/i-5', service);
	await waitUntil(() => !follower.isSteady());
	const before = server.calls().get('kv-watch');
	const renewed = server.calls().get('kv-keep') ?? 0;
	server.put('op/config', {version: 9, routes: [], services: []});
	await waitUntil(() => (server.calls().get('kv-keep') ?? 0) > renewed + 1);
	t.equal(server.calls().get('kv-watch'), before);
	t.equal(view.configuration()?.version, 1);
	isNeeded = true;
	await waitUntil(() => view.configuration()?.version === 9);
	t.ok(follower.isSteady());
});
