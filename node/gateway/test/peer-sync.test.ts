import Emittery from 'emittery';
import {okAsync, ResultAsync} from 'neverthrow';
import {test, type Test} from 'tap';
import {createClusterView, measureFleet, type ClusterState} from '@valvesaddle/cluster-view';
import {waitUntil} from '@valvesaddle/fake-fleet';
import type {GatewayNode} from '@valvesaddle/gateway-types';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import type {PeerEvents, PeerNetwork} from '@valvesaddle/network';
import {createSelector, noLoad} from '@valvesaddle/selection';
import {createPeerSync} from '../src/create-peer-sync.ts';
import {formatLoadUpdate} from '../src/format-load-update.ts';
import {parseLoadUpdate} from '../src/parse-load-update.ts';

const peerState: ClusterState = {
	revision: 9,
	configuration: {
		version: 4, routes: [], pools: [{name: 'p', engine: undefined}], limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		}, accounts: [],
	},
	endpoints: [{
		endpoint: {
			id: 'i-1', pool: 'p', address: '10.0.0.1:80', dataCentre: 'a', slots: 4, state: 'draining',
		},
		revision: 8,
	}],
	nodes: [],
	removed: [],
	isSteady: true,
};

type SyncChange = {
	/**
	Nodes with an open link.
	*/
	readonly connected?: readonly string[];
	readonly meshNodes?: number;
	readonly silenceBeatMs?: number;
	readonly isSteady?: boolean;
	readonly capacity?: number;
};

const centres = ['a', 'b', 'c', 'd'] as const;

function toNode(id: string, dataCentre = 'a'): GatewayNode {
	return {
		id, address: `${id}:1`, token: 'x', dataCentre, capacity: 1,
	};
}

/**
Fleet of 40 nodes, `n1` among them, in which four strong ones are followers of the store.
*/
function createFleet(): readonly GatewayNode[] {
	return Array.from({length: 40}, (_, index) => ({...toNode(index < 8 ? `r${index}` : `n${index - 7}`, centres[index % centres.length]), capacity: index < 8 ? 2 : 1}));
}

/**
A node `n1` whose store does not answer, with a peer `n2` that is up to date.
*/
function createSync(t: Test, {connected = ['n2'], meshNodes = 16, silenceBeatMs = 1000, isSteady = false, capacity = 1}: SyncChange = {}) {
	const logger = createLogger({node: 'n1', level: 'silent'});
	const metrics = createMetrics();
	const view = createClusterView({logger, metrics});
	const events = new Emittery<PeerEvents>();
	const calls: string[] = [];
	const notified: Array<readonly [node: string, method: string]> = [];
	const broadcasts: Array<readonly [method: string, parameters: unknown, nodes: readonly string[] | undefined]> = [];
	const links = new Set(connected);
	/**
	Nodes that have not taken in what was sent before.
	*/
	const full = new Set<string>();
	const network: PeerNetwork = {
		events,
		listen: async () => '',
		call(node, method) {
			calls.push(`${method} of ${node}`);
			return setup.isMute ? new ResultAsync(Promise.withResolvers<never>().promise) : okAsync(peerState);
		},
		notify(node, method) {
			notified.push([node, method]);
			links.add(node);
		},
		isReady: node => !full.has(node),
		broadcast(method, parameters, nodes) {
			broadcasts.push([method, parameters, nodes]);
		},
		connected: () => [...links],
		disconnect(node) {
			links.delete(node);
		},
		async close() {
			// Nothing is open.
		},
	};
	const selector = createSelector({
		harmWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
	});
	const {sync, handlers} = createPeerSync({
		self: {...toNode('n1'), capacity},
		network,
		view,
		follower: {isSteady: () => setup.isSteady, hasSettled: () => true},
		selector,
		loadUpdateMs: 1,
		hasOpenRequests: () => true,
		heartbeatMs: silenceBeatMs,
		meshNodes,
		suspectMs: 3_600_000,
		logger,
		metrics,
	});
	t.teardown(() => {
		sync.close();
		view.close();
	});
	const setup = {
		view, events, calls, notified, broadcasts, links, full, selector, sync, handlers,
		/**
		Whether peers leave questions open.
		*/
		isMute: false,
		isSteady,
	};
	return setup;
}

function addNodes({view}: ReturnType<typeof createSync>, nodes: readonly GatewayNode[]): void {
	view.applyChanges({revision: 3, changes: nodes.map(node => ({kind: 'node' as const, revision: 3, node}))}, 'peer');
}

test('a node that the store refuses learns configuration and drains from a peer that is ahead', async t => {
	const {view, calls, handlers} = createSync(t);
	handlers['cluster.heartbeat']?.({revision: 9, confirmedAgoMs: 20}, 'n2');
	await waitUntil(() => view.configuration()?.version === 4);
	t.same(view.endpoints().map(({state}) => state), ['draining']);
	t.equal(view.revision(), 9);
	handlers['cluster.heartbeat']?.({revision: 9, confirmedAgoMs: 20}, 'n2');
	t.same(calls, ['cluster.state of n2'], 'a peer that is not ahead is not asked');
});

test('a node that keeps an entry as lapsed asks a peer at its own revision whether it was removed', async t => {
	const {view, calls, handlers} = createSync(t);
	view.applyAll({revision: 5, changes: [{kind: 'endpoint', revision: 3, endpoint: {...peerState.endpoints[0]!.endpoint, id: 'i-2', state: 'ready'}}]}, 'store');
	view.setLapseUntil(performance.now() + 60_000);
	view.applyChanges({revision: 9, changes: [{kind: 'endpoint-removed', id: 'i-2', revision: 9}]}, 'store');
	t.same(view.endpoints().map(({id}) => id), ['i-2']);
	handlers['cluster.heartbeat']?.({revision: 9, confirmedAgoMs: 20}, 'n2');
	await waitUntil(() => !view.hasLapsed());
	t.same(view.endpoints().map(({id}) => id), ['i-1']);
	t.same(calls, ['cluster.state of n2']);
});

test('a peer that lost the store itself, and has heard of none that has not, is not asked', t => {
	const {calls, handlers} = createSync(t);
	handlers['cluster.heartbeat']?.({revision: 9, confirmedAgoMs: 60_000}, 'n2');
	t.same(calls, []);
	t.end();
});

test('messages of a wrong form change nothing', t => {
	const {view, handlers} = createSync(t);
	t.throws(() => handlers['cluster.heartbeat']?.({revision: 'nine'}, 'n2'));
	t.throws(() => handlers['cluster.changes']?.({after: 1}, 'n2'));
	t.throws(() => handlers['load.news']?.({nodes: 1, loads: [['i-1', -1, [], 0, 0, 0, 0, 0]], placements: []}, 'n2'));
	t.throws(() => handlers['load.news']?.({nodes: 1, loads: [['i-1', 1, [], 0]], placements: []}, 'n2'));
	t.equal(view.revision(), -1);
	t.end();
});

test('of two nodes the one with the smaller id opens the link, and a new peer is told all own work', async t => {
	const setup = createSync(t);
	addNodes(setup, ['n0', 'n2', 'n3'].map(id => toNode(id)));
	setup.sync.start();
	await waitUntil(() => setup.notified.length > 0);
	t.same(setup.notified[0], ['n3', 'load.news'], 'n0 opens its own link, n2 is linked');
	setup.sync.close();
	setup.notified.length = 0;
	await setup.events.emit('found', {node: 'n2'});
	t.same(setup.notified, [['n2', 'load.news']]);
});

test('when the fleet grows large a node keeps one link of those that it opened, to a relay of its data centre', async t => {
	const setup = createSync(t, {connected: ['m1'], silenceBeatMs: 100});
	addNodes(setup, ['n2', 'n3'].map(id => toNode(id)));
	setup.sync.start();
	await waitUntil(() => setup.links.has('n2') && setup.links.has('n3'));
	setup.view.applyChanges({revision: 4, changes: createFleet().map(node => ({kind: 'node' as const, revision: 4, node}))}, 'peer');
	await waitUntil(() => setup.links.size === 2 && !setup.links.has('n2'));
	const [first, parent = ''] = setup.links;
	t.equal(first, 'm1', 'what another node opened is left to it');
	t.match(parent, /^r[04]$/v);
});

test('a relay that stays silent is left for another', async t => {
	const setup = createSync(t, {connected: [], silenceBeatMs: 5});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => new Set(setup.notified.map(([node]) => node)).size >= 3);
	const asked = [...new Set(setup.notified.map(([node]) => node))];
	t.match(asked[0], /^r[04]$/v);
	t.match(asked[1], /^r[04]$/v, 'the other one of the data centre comes next');
	t.match(asked[2], /^r[123567]$/v, 'then one farther away');
});

test('a node whose relay breaks off moves to another one at once', async t => {
	const setup = createSync(t, {connected: [], silenceBeatMs: 60_000});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	const [first = ''] = setup.links;
	setup.links.delete(first);
	await setup.events.emit('lost', {node: first});
	t.equal(setup.links.size, 1);
	t.notOk(setup.links.has(first));
});

test('only a follower, and a node that has heard no confirmation of late, asks the store itself', async t => {
	const setup = createSync(t, {connected: [], silenceBeatMs: 100});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	t.ok(setup.sync.isStoreNeeded(), 'nothing is confirmed yet');
	setup.handlers['cluster.heartbeat']?.({revision: 3, confirmedAgoMs: 0, confirmation: {by: 'r0', number: 7}}, 'r0');
	t.notOk(setup.sync.isStoreNeeded());
	setup.handlers['cluster.heartbeat']?.({revision: 3, confirmedAgoMs: 5000, confirmation: {by: 'r0', number: 8}}, 'r0');
	t.notOk(setup.sync.isStoreNeeded(), 'an older confirmation takes nothing back');
	await waitUntil(() => setup.sync.isStoreNeeded());
	t.ok(setup.sync.isStoreNeeded(), 'six heartbeats without one are too long');
});

test('changes that leave no gap are applied as they come, others are asked for', async t => {
	const {view, calls, handlers} = createSync(t);
	const toChanges = (after: number, revision: number) => ({
		after, changes: {revision, changes: [{kind: 'node', revision, node: toNode(`m${revision}`)}]},
	});
	handlers['cluster.changes']?.(toChanges(-1, 4), 'n2');
	t.equal(view.revision(), 4);
	handlers['cluster.changes']?.(toChanges(6, 7), 'n2');
	await waitUntil(() => view.revision() === 9);
	t.same(calls, ['cluster.state of n2']);
});

test('a relay passes changes on to its members alone, and a follower also to relays', async t => {
	for (const isSteady of [false, true]) {
		const setup = createSync(t, {
			connected: ['r2', 'n5', 'n6'], meshNodes: 3, isSteady, capacity: 9,
		});
		addNodes(setup, [{...toNode('r2'), capacity: 8}, toNode('n5'), toNode('n6')]);
		setup.sync.start();
		// eslint-disable-next-line no-await-in-loop -- one case after the other
		await waitUntil(() => setup.broadcasts.some(([method]) => method === 'cluster.heartbeat'));
		setup.broadcasts.length = 0;
		setup.view.applyChanges({revision: 5, changes: []}, isSteady ? 'store' : 'peer');
		// eslint-disable-next-line no-await-in-loop -- one case after the other
		await waitUntil(() => setup.broadcasts.some(([method]) => method === 'cluster.changes'));
		const [, parameters, nodes] = setup.broadcasts.find(([method]) => method === 'cluster.changes') ?? [];
		t.match(parameters, {after: 3, changes: {revision: 5}});
		t.same(nodes, isSteady ? ['r2', 'n5', 'n6'] : ['n5', 'n6']);
		setup.sync.close();
	}
});

test('the work of nodes that a lost relay told of is forgotten with it', async t => {
	const {events, selector, handlers} = createSync(t, {connected: []});
	selector.setPools([{name: 'p', engine: undefined}]);
	for (const id of ['i-1', 'i-2']) {
		selector.addEndpoint({
			id, pool: 'p', address: `${id}:1`, dataCentre: 'a', slots: 4, state: 'ready',
		});
	}

	const question = {
		pool: 'p', objectiveMs: 100, pauseObjectiveMs: 0, urgency: 0, promptTokens: 0, parts: [], tried: new Set<string>(),
	};
	const toNews = (endpoint: string, open: number) => formatLoadUpdate({
		origin: '', nodes: 1, loads: [[endpoint, {...noLoad, open}]], placements: [],
	});
	handlers['load.news']?.(toNews('i-1', 9), 'r0');
	t.equal(selector.choose(question)?.endpoint.id, 'i-2');
	handlers['load.news']?.(toNews('i-2', 5), 'n3');
	t.equal(selector.choose(question)?.endpoint.id, 'i-2');
	await events.emit('lost', {node: 'r0'});
	t.equal(selector.choose(question)?.endpoint.id, 'i-1');
});

test('what nodes tell the store comes less often in a larger fleet, up to a bound', t => {
	t.equal(measureFleet(0), 1);
	t.equal(measureFleet(9), 1);
	t.equal(measureFleet(90), 10);
	t.equal(measureFleet(380), 12);
	t.end();
});

test('work is told to links that have taken in what was sent before, heartbeats to all', async t => {
	const setup = createSync(t, {connected: ['n2', 'n3'], silenceBeatMs: 5});
	addNodes(setup, ['n2', 'n3'].map(id => toNode(id)));
	setup.full.add('n3');
	setup.sync.start();
	await waitUntil(() => setup.notified.some(([node]) => node === 'n2') && setup.broadcasts.some(([method]) => method === 'cluster.heartbeat'));
	t.notOk(setup.notified.some(([node]) => node === 'n3'));
	setup.full.clear();
	await waitUntil(() => setup.notified.some(([node, method]) => node === 'n3' && method === 'load.news'));
	const heartbeats = setup.broadcasts.filter(broadcast => broadcast[0] === 'cluster.heartbeat');
	t.ok(heartbeats.every(broadcast => broadcast[2] === undefined), 'to every open link');
});

test('a heartbeat that waited on its way confirms nothing since it was sent', async t => {
	const setup = createSync(t, {connected: [], silenceBeatMs: 10_000});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	const clockOffset = 5_000_000;
	let number = 0;
	const beat = (waitedMs: number, confirmedAgoMs: number) => ({
		revision: 9, confirmedAgoMs, confirmation: {by: 'r0', number: ++number}, sentAt: performance.now() + clockOffset - waitedMs,
	});
	setup.handlers['cluster.heartbeat']?.(beat(0, 120_000), 'r0');
	t.ok(setup.sync.isStoreNeeded(), 'nothing is confirmed yet');
	setup.handlers['cluster.heartbeat']?.(beat(120_000, 0), 'r0');
	t.ok(setup.sync.isStoreNeeded(), 'the store was confirmed two minutes ago');
	t.same(setup.calls, [], 'nor is a peer asked whose word is that old');
	setup.handlers['cluster.heartbeat']?.(beat(1000, 1000), 'r0');
	t.notOk(setup.sync.isStoreNeeded());
	t.same(setup.calls, ['cluster.state of r0']);
});

test('a relay whose messages wait for long on their way is left for another', async t => {
	const setup = createSync(t, {connected: [], silenceBeatMs: 20});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	const [first = ''] = setup.links;
	setup.handlers['cluster.heartbeat']?.({revision: 3, confirmedAgoMs: 0, sentAt: performance.now()}, first);
	await waitUntil(() => {
		setup.handlers['cluster.heartbeat']?.({revision: 3, confirmedAgoMs: 0, sentAt: performance.now() - 3_600_000}, first);
		return !setup.links.has(first);
	});
	t.equal(setup.links.size, 1);
});

test('a newer configuration is asked for whatever the age of the peer\'s word, and an open question keeps no other from being asked', async t => {
	const setup = createSync(t, {silenceBeatMs: 5});
	setup.handlers['cluster.heartbeat']?.({revision: 2, version: 4, confirmedAgoMs: 60_000}, 'n2');
	t.same(setup.calls, ['cluster.state of n2']);
	await waitUntil(() => setup.view.configuration()?.version === 4);
	setup.isMute = true;
	setup.handlers['cluster.heartbeat']?.({revision: 2, version: 5, confirmedAgoMs: 60_000}, 'n3');
	setup.handlers['cluster.heartbeat']?.({revision: 2, version: 5, confirmedAgoMs: 60_000}, 'n4');
	t.same(setup.calls.slice(1), ['cluster.state of n3'], 'one peer at a time');
	await waitUntil(() => {
		setup.handlers['cluster.heartbeat']?.({revision: 2, version: 5, confirmedAgoMs: 60_000}, 'n4');
		return setup.calls.includes('cluster.state of n4');
	});
	t.equal(setup.view.configuration()?.version, 4);
});

test('a node that peers leave behind a newer configuration asks the store itself', async t => {
	const setup = createSync(t, {connected: [], silenceBeatMs: 20});
	addNodes(setup, createFleet());
	setup.isMute = true;
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	let number = 0;
	const beat = (revision: number) => ({
		revision, version: 9, confirmedAgoMs: 0, confirmation: {by: 'r0', number: ++number},
	});
	setup.handlers['cluster.heartbeat']?.(beat(3), 'r0');
	t.notOk(setup.sync.isStoreNeeded());
	await waitUntil(() => {
		setup.handlers['cluster.heartbeat']?.(beat(3), 'r0');
		return setup.sync.isStoreNeeded();
	});
	setup.view.applyChanges({revision: 4, changes: [{kind: 'configuration', revision: 4, configuration: {...peerState.configuration!, version: 9}}]}, 'store');
	setup.handlers['cluster.heartbeat']?.(beat(4), 'r0');
	t.notOk(setup.sync.isStoreNeeded());
});

test('a member that missed something on the way to its relay\'s revision asks for it, not with every heartbeat', async t => {
	const setup = createSync(t, {connected: [], silenceBeatMs: 3000});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	const [relay = ''] = setup.links;
	setup.view.applyChanges({revision: 9, changes: []}, 'peer');
	const beat = {
		revision: 9, digest: 1, version: -1, confirmedAgoMs: 0,
	};
	setup.handlers['cluster.heartbeat']?.({...beat, digest: setup.view.digest()}, relay);
	setup.handlers['cluster.heartbeat']?.({...beat, digest: undefined}, relay);
	setup.handlers['cluster.heartbeat']?.(beat, 'r7');
	t.same(setup.calls, [], 'not the same, nor a peer that this node does not hear changes from');
	setup.isMute = true;
	for (let digest = 1; digest <= 20; digest++) {
		setup.handlers['cluster.heartbeat']?.({...beat, digest}, relay);
	}

	t.same(setup.calls, [`cluster.state of ${relay}`]);
});

test('a peer that has not answered is not asked again, whatever it is ahead by', async t => {
	const setup = createSync(t, {silenceBeatMs: 2});
	setup.isMute = true;
	setup.handlers['cluster.heartbeat']?.({revision: 9, version: 5, confirmedAgoMs: 0}, 'n2');
	await waitUntil(() => {
		setup.handlers['cluster.heartbeat']?.({revision: 9, version: 5, confirmedAgoMs: 0}, 'n2');
		setup.handlers['cluster.heartbeat']?.({revision: 9, version: 5, confirmedAgoMs: 0}, 'n3');
		return setup.calls.includes('cluster.state of n3');
	});
	setup.handlers['cluster.heartbeat']?.({revision: 9, version: 6, confirmedAgoMs: 0}, 'n2');
	t.same(setup.calls, ['cluster.state of n2', 'cluster.state of n3']);
});

test('what is new in changes with a gap before them counts at once, the revision when the gap is closed', t => {
	const setup = createSync(t);
	setup.isMute = true;
	setup.handlers['cluster.changes']?.({after: 6, changes: {revision: 7, changes: [{kind: 'configuration', revision: 7, configuration: {...peerState.configuration, version: 8}}]}}, 'n2');
	t.equal(setup.view.configuration()?.version, 8);
	t.equal(setup.view.revision(), -1);
	t.same(setup.calls, ['cluster.state of n2']);
	t.end();
});

test('a follower that is not steady passes on what is new without saying that all up to there is known', async t => {
	const setup = createSync(t, {
		connected: ['r2', 'n5'], meshNodes: 3, capacity: 9, silenceBeatMs: 20,
	});
	addNodes(setup, [{...toNode('r2'), capacity: 8}, toNode('n5'), toNode('n6')]);
	setup.sync.start();
	await waitUntil(() => setup.broadcasts.some(([method]) => method === 'cluster.heartbeat'));
	setup.broadcasts.length = 0;
	const listed = setup.view.exportState(true).nodes.map(({node, revision}) => ({kind: 'node' as const, node, revision}));
	setup.view.applyAll({revision: 5, changes: [...listed, {kind: 'configuration', revision: 5, configuration: {...peerState.configuration!, version: 8}}]}, 'store');
	await waitUntil(() => setup.broadcasts.some(([method]) => method === 'cluster.changes'));
	const [, parameters, nodes] = setup.broadcasts.find(([method]) => method === 'cluster.changes') ?? [];
	t.match(parameters, {after: 3, changes: {revision: 3, changes: [{kind: 'configuration'}]}});
	t.same(nodes, ['r2', 'n5']);
});

test('news of work are read as they were written, but for parts of a token, a millisecond and a hundredth of a request', t => {
	const loads = [['i-1', {
		open: 3, unread: [0, 1200.4], sensitivity: 1.23456, witnesses: 2, silent: 1, readTokens: 99.6, readMs: 7.2,
	}]] as const;
	const placements = [{
		endpoint: 'i-1', pool: 'p', parts: ['a', 'b'], tokens: 600,
	}];
	t.same(parseLoadUpdate(formatLoadUpdate({
		origin: 'n1', nodes: 4, loads, placements,
	})), {
		nodes: 4,
		loads: [['i-1', {
			open: 3, unread: [0, 1200], sensitivity: 1.23, witnesses: 2, silent: 1, readTokens: 100, readMs: 7,
		}]],
		placements,
	});
	t.end();
});

test('a word of the store does not grow young by being passed on', async t => {
	const setup = createSync(t, {connected: [], silenceBeatMs: 20});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	const beat = {revision: 3, confirmedAgoMs: 0, confirmation: {by: 'r0', number: 7}};
	setup.handlers['cluster.heartbeat']?.(beat, 'r0');
	t.notOk(setup.sync.isStoreNeeded());
	await waitUntil(() => {
		for (const peer of ['r0', 'r4', 'r1']) {
			setup.handlers['cluster.heartbeat']?.(beat, peer);
		}

		return setup.sync.isStoreNeeded();
	});
	setup.handlers['cluster.heartbeat']?.({...beat, confirmation: {by: 'r1', number: 2}}, 'r4');
	t.notOk(setup.sync.isStoreNeeded(), 'a word of another node counts by itself');
});
