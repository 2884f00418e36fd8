import Emittery from 'emittery';
import {okAsync, ResultAsync} from 'neverthrow';
import {test, type Test} from 'tap';
import {createClusterView, type ClusterState} from '@valvesaddle/cluster-view';
import {waitUntil} from '@valvesaddle/fake-fleet';
import type {ClusterChange, GatewayNode, ServingEndpoint} from '@valvesaddle/gateway-types';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import type {PeerEvents, PeerNetwork} from '@valvesaddle/network';
import {createSelector} from '@valvesaddle/selection';
import {createPeerSync} from '../src/create-peer-sync.ts';

const dataCentres = ['a', 'b', 'c', 'd'] as const;

function toNode(id: string, dataCentre = 'a'): GatewayNode {
	return {
		id, address: `${id}:1`, token: 'x', dataCentre, capacity: 1,
	};
}

/**
Fleet of 40 nodes with `n1`, in which the eight nodes of higher capacity are relays, and four of these are followers of the store.
*/
function createFleet(): readonly GatewayNode[] {
	return Array.from({length: 40}, (_, index) => ({...toNode(index < 8 ? `r${index}` : `n${index - 7}`, dataCentres[index % dataCentres.length]), capacity: index < 8 ? 2 : 1}));
}

function toEndpoint(id: string): ServingEndpoint {
	return {
		id, pool: 'p', address: `${id}:80`, dataCentre: 'a', slots: 4, state: 'ready',
	};
}

/**
A node whose store doesn't answer and whose peers answer with `state`, or not at all if it is missing.
*/
function createSync(t: Test, {state, heartbeatMs, id = 'n1', isSteady = () => false}: {
	readonly state?: ClusterState; readonly heartbeatMs: number; readonly id?: string; readonly isSteady?: () => boolean;
}) {
	const logger = createLogger({node: id, level: 'silent'});
	const metrics = createMetrics();
	const view = createClusterView({logger, metrics});
	const events = new Emittery<PeerEvents>();
	const links = new Set<string>();
	const calls: string[] = [];
	const broadcasts: Array<readonly [method: string, parameters: unknown, nodes: readonly string[] | undefined]> = [];
	let disconnects = 0;
	const network: PeerNetwork = {
		events,
		listen: async () => '',
		call(node) {
			calls.push(node);
			return state === undefined ? new ResultAsync(Promise.withResolvers<never>().promise) : okAsync(state);
		},
		notify(node) {
			links.add(node);
		},
		isReady: () => true,
		broadcast(method, parameters, nodes) {
			broadcasts.push([method, parameters, nodes]);
		},
		connected: () => [...links],
		disconnect(node) {
			if (!links.delete(node)) {
				return;
			}

			disconnects++;
			void events.emit('lost', {node});
		},
		async close() {
			// Nothing is open.
		},
	};
	const selector = createSelector({
		interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
	});
	const fleet = createFleet();
	const {sync, handlers} = createPeerSync({
		self: fleet.find(node => node.id === id)!,
		network,
		view,
		follower: {isSteady, hasSettled: () => true},
		selector,
		loadUpdateMs: 10_000,
		hasOpenRequests: () => true,
		heartbeatMs,
		meshNodes: 16,
		suspectMs: 1,
		logger,
		metrics,
	});
	t.teardown(() => {
		sync.close();
		view.close();
	});
	view.applyChanges({revision: 3, changes: fleet.map(node => ({kind: 'node' as const, revision: 3, node}))}, 'peer');
	return {
		view, links, calls, broadcasts, sync, handlers, countDisconnects: () => disconnects,
	};
}

test('an endpoint is kept when the state of the source at the same revision lacks it', async t => {
	const source = createClusterView({logger: createLogger({node: 's', level: 'silent'}), metrics: createMetrics()});
	t.teardown(source.close);
	const nodes = createFleet().map(node => ({kind: 'node' as const, revision: 3, node}));
	source.applyChanges({revision: 3, changes: nodes}, 'store');
	// The watch of the source returned no change, but the newest revision.
	source.applyChanges({revision: 9, changes: []}, 'store');
	const {view, links, calls, sync, handlers} = createSync(t, {state: source.exportState(true), heartbeatMs: 1000});
	sync.start();
	await waitUntil(() => links.size === 1);
	const [relay = ''] = links;
	handlers['cluster.changes']?.({after: 3, changes: {revision: 9, changes: [{kind: 'endpoint', revision: 8, endpoint: toEndpoint('i-1')}]}}, relay);
	t.equal(view.endpoints().length, 1);
	handlers['cluster.heartbeat']?.({
		revision: 9, digest: source.digest(), version: -1, confirmedAgoMs: 0,
	}, relay);
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	t.same(calls, [relay]);
	t.same(view.endpoints().map(({id}) => id), ['i-1'], 'it is in the store');
	// The source now gets the endpoint from a list.
	source.applyAll({revision: 10, changes: [...nodes, {kind: 'endpoint', revision: 8, endpoint: toEndpoint('i-1')}]}, 'store');
	handlers['cluster.changes']?.({after: 9, changes: {revision: 10, changes: [{kind: 'endpoint', revision: 8, endpoint: toEndpoint('i-1')}]}}, relay);
	t.same(view.endpoints().map(({id}) => id), ['i-1'], 'no tombstone excludes it');
	t.equal(view.digest(), source.digest());
});

test('a difference that a full state does not resolve is not requested with every heartbeat', async t => {
	const source = createClusterView({logger: createLogger({node: 's', level: 'silent'}), metrics: createMetrics()});
	t.teardown(source.close);
	source.applyChanges({revision: 3, changes: createFleet().map(node => ({kind: 'node' as const, revision: 3, node}))}, 'store');
	source.applyChanges({revision: 9, changes: [{kind: 'endpoint', revision: 8, endpoint: toEndpoint('i-1')}]}, 'store');
	const {view, links, calls, sync, handlers} = createSync(t, {state: source.exportState(true), heartbeatMs: 1000});
	sync.start();
	await waitUntil(() => links.size === 1);
	const [relay = ''] = links;
	// This node has a later tombstone of the endpoint, as after a list in which the entry was unreadable.
	view.applyChanges({revision: 9, changes: [{kind: 'endpoint-removed', id: 'i-1', revision: 9}]}, 'peer');
	for (let revision = 10; revision < 30; revision++) {
		// Both nodes receive a change of another endpoint every 250 ms.
		const change = {kind: 'endpoint' as const, revision, endpoint: toEndpoint(`i-${revision}`)};
		source.applyChanges({revision, changes: [change]}, 'store');
		view.applyChanges({revision, changes: [change]}, 'peer');
		handlers['cluster.heartbeat']?.({
			revision, digest: source.digest(), version: -1, confirmedAgoMs: 0,
		}, relay);
		// eslint-disable-next-line no-await-in-loop -- one after the other
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	t.ok(calls.length <= 5, `${calls.length} full states for 20 heartbeats (5 s)`);
});

async function settle(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

const peerKinds: ReadonlyArray<readonly [name: string, change: (state: ClusterState) => unknown]> = [
	['has pending removals', state => ({...state, isSteady: false})],
	['runs the previous version', ({removed: _removed, ...state}) => state],
];

for (const [name, change] of peerKinds) {
	test(`the full state of a peer that is ahead and ${name} is not requested with every heartbeat`, async t => {
		const source = createClusterView({logger: createLogger({node: 's', level: 'silent'}), metrics: createMetrics()});
		t.teardown(source.close);
		source.applyChanges({revision: 3, changes: createFleet().map(node => ({kind: 'node' as const, revision: 3, node}))}, 'store');
		source.applyChanges({revision: 9, changes: [{kind: 'endpoint', revision: 8, endpoint: toEndpoint('i-1')}]}, 'store');
		const {links, calls, sync, handlers} = createSync(t, {state: change(source.exportState(true)) as ClusterState, heartbeatMs: 1000});
		sync.start();
		await waitUntil(() => links.size === 1);
		const [relay = ''] = links;
		for (let heartbeat = 0; heartbeat < 8; heartbeat++) {
			handlers['cluster.heartbeat']?.({revision: 9, version: -1, confirmedAgoMs: 0}, relay);
			// eslint-disable-next-line no-await-in-loop -- one after the other
			await settle();
		}

		t.ok(calls.length <= 2, `${calls.length} full states in 2 s`);
	});
}

test('a follower announces no revision beyond the changes that it forwarded', async t => {
	let isSteady = false;
	const {view, links, broadcasts, sync, handlers} = createSync(t, {heartbeatMs: 20, id: 'r0', isSteady: () => isSteady});
	links.add('r1');
	links.add('r2');
	sync.start();
	await waitUntil(() => broadcasts.some(([method]) => method === 'cluster.heartbeat'));
	// After an outage it lists the store, then receives two changes from another follower and forwards these to its members only.
	view.applyChanges({revision: 5, changes: [{kind: 'endpoint', revision: 5, endpoint: toEndpoint('i-5')}]}, 'store');
	await settle();
	handlers['cluster.changes']?.({after: 5, changes: {revision: 7, changes: [{kind: 'endpoint', revision: 6, endpoint: toEndpoint('i-6')}, {kind: 'endpoint', revision: 7, endpoint: toEndpoint('i-7')}]}}, 'r1');
	await settle();
	isSteady = true;
	await waitUntil(() => view.revision() === 7 && broadcasts.filter(([method]) => method === 'cluster.heartbeat').length > 6);
	const peer = createClusterView({logger: createLogger({node: 's', level: 'silent'}), metrics: createMetrics()});
	t.teardown(peer.close);
	peer.applyChanges({revision: 3, changes: []}, 'peer');
	for (const [method, parameters, nodes] of broadcasts) {
		if (!(method === 'cluster.changes' && nodes?.includes('r2'))) {
			continue;
		}

		const {after, changes} = parameters as {readonly after: number; readonly changes: {readonly revision: number; readonly changes: readonly ClusterChange[]}};
		peer.applyChanges(after > peer.revision() ? {...changes, revision: peer.revision()} : changes, 'peer');
	}

	t.ok(peer.revision() < 7 || peer.endpoints().length === 3, `r2 is at revision ${peer.revision()} with ${peer.endpoints().length} of 3 endpoints`);
});

test('nodes that receive changes from peers also detect an unreadable newer configuration', async t => {
	const create = () => createClusterView({logger: createLogger({node: 's', level: 'silent'}), metrics: createMetrics()});
	const follower = create();
	const member = create();
	t.teardown(follower.close);
	t.teardown(member.close);
	follower.events.on('advanced', ({data: {changes}}) => {
		member.applyChanges(changes, 'peer');
	});
	follower.applyChanges({
		revision: 4, changes: [{
			kind: 'unreadable', revision: 4, key: 'c', reason: 'a field of another type', isConfiguration: true,
		}],
	}, 'store');
	await settle();
	t.equal(member.revision(), 4);
	t.ok(follower.hasUnreadableConfiguration());
	t.ok(member.hasUnreadableConfiguration(), 'otherwise it answers 404 where the newer one has a route');
	const late = create();
	t.teardown(late.close);
	late.importState(follower.exportState(true));
	t.ok(late.hasUnreadableConfiguration(), 'also after a full state');
	t.end();
});
