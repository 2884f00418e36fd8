import {once} from 'node:events';
import Emittery from 'emittery';
import {okAsync, ResultAsync} from 'neverthrow';
import {test, type Test} from 'tap';
import {createClusterView, measureFleetFactor, type ClusterState} from '@valvesaddle/cluster-view';
import {waitUntil} from '@valvesaddle/fake-fleet';
import {openSocketPair, waitBlocking} from '@valvesaddle/fake-http';
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

type SyncOptions = {
	/**
	Nodes with an open link.
	*/
	readonly connected?: readonly string[];
	readonly meshNodes?: number;
	readonly heartbeatMs?: number;
	readonly isSteady?: boolean;
	readonly capacity?: number;
};

const dataCentres = ['a', 'b', 'c', 'd'] as const;

function toNode(id: string, dataCentre = 'a'): GatewayNode {
	return {
		id, address: `${id}:1`, token: 'x', dataCentre, capacity: 1,
	};
}

/**
Fleet of 40 nodes with `n1`, in which four nodes of higher capacity are followers of the store.
*/
function createFleet(): readonly GatewayNode[] {
	return Array.from({length: 40}, (_, index) => ({...toNode(index < 8 ? `r${index}` : `n${index - 7}`, dataCentres[index % dataCentres.length]), capacity: index < 8 ? 2 : 1}));
}

/**
A node `n1` whose store doesn't answer, with a peer `n2` that is up to date.
*/
function createSync(t: Test, {connected = ['n2'], meshNodes = 16, heartbeatMs = 1000, isSteady = false, capacity = 1}: SyncOptions = {}) {
	const logger = createLogger({node: 'n1', level: 'silent'});
	const metrics = createMetrics();
	const view = createClusterView({logger, metrics});
	const events = new Emittery<PeerEvents>();
	const calls: string[] = [];
	const notified: Array<readonly [node: string, method: string]> = [];
	const broadcasts: Array<readonly [method: string, parameters: unknown, nodes: readonly string[] | undefined]> = [];
	const links = new Set(connected);
	/**
	Nodes whose links are congested.
	*/
	const congested = new Set<string>();
	const network: PeerNetwork = {
		events,
		listen: async () => '',
		call(node, method) {
			calls.push(`${method} of ${node}`);
			return setup.isUnanswered ? new ResultAsync(Promise.withResolvers<never>().promise) : okAsync(peerState);
		},
		notify(node, method) {
			notified.push([node, method]);
			links.add(node);
		},
		isReady: node => !congested.has(node),
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
		interferenceWeight: 1, riskWeight: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
	});
	const {sync, handlers} = createPeerSync({
		self: {...toNode('n1'), capacity},
		network,
		view,
		follower: {isSteady: () => setup.isSteady, hasSettled: () => true},
		selector,
		loadUpdateMs: 1,
		hasOpenRequests: () => true,
		heartbeatMs,
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
		view, events, calls, notified, broadcasts, links, congested, selector, sync, handlers,
		/**
		Whether peers leave calls unanswered.
		*/
		isUnanswered: false,
		isSteady,
	};
	return setup;
}

function addNodes({view}: ReturnType<typeof createSync>, nodes: readonly GatewayNode[]): void {
	view.applyChanges({revision: 3, changes: nodes.map(node => ({kind: 'node' as const, revision: 3, node}))}, 'peer');
}

test('a node without a store connection reads configuration and endpoint states from a peer that is ahead', async t => {
	const {view, calls, handlers} = createSync(t);
	handlers['cluster.heartbeat']?.({revision: 9, confirmedAgoMs: 20}, 'n2');
	await waitUntil(() => view.configuration()?.version === 4);
	t.same(view.endpoints().map(({state}) => state), ['draining']);
	t.equal(view.revision(), 9);
	handlers['cluster.heartbeat']?.({revision: 9, confirmedAgoMs: 20}, 'n2');
	t.same(calls, ['cluster.state of n2'], 'a peer that is not ahead is not called');
});

test('a node with pending removals reads the state of a peer at its own revision', async t => {
	const {view, calls, handlers} = createSync(t);
	view.applyAll({revision: 5, changes: [{kind: 'endpoint', revision: 3, endpoint: {...peerState.endpoints[0]!.endpoint, id: 'i-2', state: 'ready'}}]}, 'store');
	view.setRemovalGraceUntil(performance.now() + 60_000);
	view.applyChanges({revision: 9, changes: [{kind: 'endpoint-removed', id: 'i-2', revision: 9}]}, 'store');
	t.same(view.endpoints().map(({id}) => id), ['i-2']);
	handlers['cluster.heartbeat']?.({revision: 9, confirmedAgoMs: 20}, 'n2');
	await waitUntil(() => !view.hasPendingRemovals());
	t.same(view.endpoints().map(({id}) => id), ['i-1']);
	t.same(calls, ['cluster.state of n2']);
});

test('a peer without a recent confirmation of the store is not called', t => {
	const {calls, handlers} = createSync(t);
	handlers['cluster.heartbeat']?.({revision: 9, confirmedAgoMs: 60_000}, 'n2');
	t.same(calls, []);
	t.end();
});

test('malformed messages change nothing', t => {
	const {view, handlers} = createSync(t);
	t.throws(() => handlers['cluster.heartbeat']?.({revision: 'nine'}, 'n2'));
	t.throws(() => handlers['cluster.changes']?.({after: 1}, 'n2'));
	t.throws(() => handlers['load.news']?.({nodes: 1, loads: [['i-1', -1, [], 0, 0, 0, 0, 0]], placements: []}, 'n2'));
	t.throws(() => handlers['load.news']?.({nodes: 1, loads: [['i-1', 1, [], 0]], placements: []}, 'n2'));
	t.equal(view.revision(), -1);
	t.end();
});

test('of two nodes the one with the smaller id opens the link, and a new peer is sent the full load', async t => {
	const setup = createSync(t);
	addNodes(setup, ['n0', 'n2', 'n3'].map(id => toNode(id)));
	setup.sync.start();
	await waitUntil(() => setup.notified.length > 0);
	t.same(setup.notified[0], ['n3', 'load.news'], 'n0 opens its own link, and n2 is already linked');
	setup.sync.close();
	setup.notified.length = 0;
	await setup.events.emit('found', {node: 'n2'});
	t.same(setup.notified, [['n2', 'load.news']]);
});

test('a node links up with one of a smaller id that does not know it', async t => {
	const setup = createSync(t, {connected: [], heartbeatMs: 30});
	addNodes(setup, [toNode('n0')]);
	setup.sync.start();
	await waitUntil(() => setup.links.has('n0'));
	t.same(setup.notified[0], ['n0', 'load.news']);
});

test('a node in a fleet that has grown large keeps one of the links that it opened, to a relay of its data centre', async t => {
	const setup = createSync(t, {connected: ['m1'], heartbeatMs: 100});
	addNodes(setup, ['n2', 'n3'].map(id => toNode(id)));
	setup.sync.start();
	await waitUntil(() => setup.links.has('n2') && setup.links.has('n3'));
	setup.view.applyChanges({revision: 4, changes: createFleet().map(node => ({kind: 'node' as const, revision: 4, node}))}, 'peer');
	await waitUntil(() => setup.links.size === 2 && !setup.links.has('n2'));
	const [first, parent = ''] = setup.links;
	t.equal(first, 'm1', 'a link that a peer opened stays open');
	t.match(parent, /^r[04]$/v);
});

test('a node replaces a parent that times out', async t => {
	const setup = createSync(t, {connected: [], heartbeatMs: 5});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => new Set(setup.notified.map(([node]) => node)).size >= 3);
	const contacted = [...new Set(setup.notified.map(([node]) => node))];
	t.match(contacted[0], /^r[04]$/v);
	t.match(contacted[1], /^r[04]$/v, 'then the other relay of the data centre');
	t.match(contacted[2], /^r[123567]$/v, 'then a relay of another data centre');
});

test('a node that loses the link to its parent chooses another at once', async t => {
	const setup = createSync(t, {connected: [], heartbeatMs: 60_000});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	const [first = ''] = setup.links;
	setup.links.delete(first);
	await setup.events.emit('lost', {node: first});
	t.equal(setup.links.size, 1);
	t.notOk(setup.links.has(first));
});

test('only a follower, or a node without a recent confirmation, watches the store itself', async t => {
	const setup = createSync(t, {connected: [], heartbeatMs: 100});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	t.ok(setup.sync.isStoreNeeded(), 'no confirmation yet');
	setup.handlers['cluster.heartbeat']?.({revision: 3, confirmedAgoMs: 0, confirmation: {by: 'r0', number: 7}}, 'r0');
	t.notOk(setup.sync.isStoreNeeded());
	setup.handlers['cluster.heartbeat']?.({revision: 3, confirmedAgoMs: 5000, confirmation: {by: 'r0', number: 8}}, 'r0');
	t.notOk(setup.sync.isStoreNeeded(), 'an older confirmation changes nothing');
	await waitUntil(() => setup.sync.isStoreNeeded());
	t.ok(setup.sync.isStoreNeeded(), 'after six heartbeats without a confirmation');
});

test('changes without a gap are applied, and for others the state is read from the peer', async t => {
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

test('a relay forwards changes to its members only, and a follower also to relays', async t => {
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

test('the load that a lost relay reported is removed', async t => {
	const {events, selector, handlers} = createSync(t, {connected: []});
	selector.setPools([{name: 'p', engine: undefined}]);
	for (const id of ['i-1', 'i-2']) {
		selector.addEndpoint({
			id, pool: 'p', address: `${id}:1`, dataCentre: 'a', slots: 4, state: 'ready',
		});
	}

	const selectionRequest = {
		pool: 'p', objectiveMs: 100, pauseObjectiveMs: 0, urgency: 0, promptTokens: 0, parts: [], tried: new Set<string>(),
	};
	const toLoadUpdate = (endpoint: string, open: number) => formatLoadUpdate({
		origin: '', nodes: 1, loads: [[endpoint, {...noLoad, open}]], placements: [],
	});
	handlers['load.news']?.(toLoadUpdate('i-1', 9), 'r0');
	t.equal(selector.choose(selectionRequest)?.endpoint.id, 'i-2');
	handlers['load.news']?.(toLoadUpdate('i-2', 5), 'n3');
	t.equal(selector.choose(selectionRequest)?.endpoint.id, 'i-2');
	await events.emit('lost', {node: 'r0'});
	t.equal(selector.choose(selectionRequest)?.endpoint.id, 'i-1');
});

/**
Opens a stream at an engine that has sent its first chunk.
*/
function openStream(selector: ReturnType<typeof createSync>['selector']) {
	selector.setPools([{name: 'engines', engine: {slots: 64, cacheTokens: 600_000}}]);
	selector.addEndpoint({
		id: 'i-1', pool: 'engines', address: 'i-1:1', dataCentre: 'a', slots: 64, state: 'ready',
	});
	const criteria = {
		pool: 'engines', objectiveMs: 250, pauseObjectiveMs: 200, urgency: 0, promptTokens: 10, parts: [{id: 'own', tokens: 10}], tried: new Set<string>(),
	};
	const request = selector.open(selector.choose(criteria)!, criteria);
	request.markChunk();
	return request;
}

test('an endpoint whose chunk arrived while the node stood still is not stalled, and is once it stays silent', async t => {
	const {selector, sync} = createSync(t, {connected: []});
	const {reader, writer, close} = await openSocketPair();
	t.teardown(close);
	const stream = openStream(selector);
	let chunks = 0;
	let stalls = 0;
	stream.onStalled(() => {
		stalls++;
	});
	reader.on('data', () => {
		chunks++;
		stream.markChunk();
	});
	reader.once('data', () => {
		writer.write('second');
		waitBlocking(1500);
	});
	sync.start();
	writer.write('first');
	await waitUntil(() => chunks === 2);
	t.equal(stalls, 0);
	await waitUntil(() => stalls > 0);
});

test('nodes write to the store less often in a larger fleet, up to a bound', t => {
	t.equal(measureFleetFactor(0), 1);
	t.equal(measureFleetFactor(9), 1);
	t.equal(measureFleetFactor(90), 10);
	t.equal(measureFleetFactor(380), 12);
	t.end();
});

test('load updates go only to links that are not congested, heartbeats to all', async t => {
	const setup = createSync(t, {connected: ['n2', 'n3'], heartbeatMs: 5});
	addNodes(setup, ['n2', 'n3'].map(id => toNode(id)));
	setup.congested.add('n3');
	setup.sync.start();
	await waitUntil(() => setup.notified.some(([node]) => node === 'n2') && setup.broadcasts.some(([method]) => method === 'cluster.heartbeat'));
	t.notOk(setup.notified.some(([node]) => node === 'n3'));
	setup.congested.clear();
	await waitUntil(() => setup.notified.some(([node, method]) => node === 'n3' && method === 'load.news'));
	const heartbeats = setup.broadcasts.filter(broadcast => broadcast[0] === 'cluster.heartbeat');
	t.ok(heartbeats.every(broadcast => broadcast[2] === undefined), 'heartbeats go to every open link');
});

test('a delayed heartbeat confirms nothing after the time it was sent', async t => {
	const setup = createSync(t, {connected: [], heartbeatMs: 10_000});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	const clockOffset = 5_000_000;
	let number = 0;
	const createHeartbeat = (waitedMs: number, confirmedAgoMs: number) => ({
		revision: 9, confirmedAgoMs, confirmation: {by: 'r0', number: ++number}, sentAt: performance.now() + clockOffset - waitedMs,
	});
	setup.handlers['cluster.heartbeat']?.(createHeartbeat(0, 120_000), 'r0');
	t.ok(setup.sync.isStoreNeeded(), 'no confirmation yet');
	setup.handlers['cluster.heartbeat']?.(createHeartbeat(120_000, 0), 'r0');
	t.ok(setup.sync.isStoreNeeded(), 'the store was confirmed two minutes ago');
	t.same(setup.calls, [], 'a peer with a confirmation that old is not called');
	setup.handlers['cluster.heartbeat']?.(createHeartbeat(1000, 1000), 'r0');
	t.notOk(setup.sync.isStoreNeeded());
	t.same(setup.calls, ['cluster.state of r0']);
});

test('a node replaces a parent whose messages are delayed too long', async t => {
	const setup = createSync(t, {connected: [], heartbeatMs: 20});
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

test('a newer configuration is read whatever the age of the peer\'s confirmation, and an unanswered call does not block other peers', async t => {
	const setup = createSync(t, {heartbeatMs: 5});
	setup.handlers['cluster.heartbeat']?.({revision: 2, version: 4, confirmedAgoMs: 60_000}, 'n2');
	t.same(setup.calls, ['cluster.state of n2']);
	await waitUntil(() => setup.view.configuration()?.version === 4);
	setup.isUnanswered = true;
	setup.handlers['cluster.heartbeat']?.({revision: 2, version: 5, confirmedAgoMs: 60_000}, 'n3');
	setup.handlers['cluster.heartbeat']?.({revision: 2, version: 5, confirmedAgoMs: 60_000}, 'n4');
	t.same(setup.calls.slice(1), ['cluster.state of n3'], 'one peer at a time');
	await waitUntil(() => {
		setup.handlers['cluster.heartbeat']?.({revision: 2, version: 5, confirmedAgoMs: 60_000}, 'n4');
		return setup.calls.includes('cluster.state of n4');
	});
	t.equal(setup.view.configuration()?.version, 4);
});

test('a node that gets no newer configuration from its peers watches the store itself', async t => {
	const setup = createSync(t, {connected: [], heartbeatMs: 20});
	addNodes(setup, createFleet());
	setup.isUnanswered = true;
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	let number = 0;
	const createHeartbeat = (revision: number) => ({
		revision, version: 9, confirmedAgoMs: 0, confirmation: {by: 'r0', number: ++number},
	});
	setup.handlers['cluster.heartbeat']?.(createHeartbeat(3), 'r0');
	t.notOk(setup.sync.isStoreNeeded());
	await waitUntil(() => {
		setup.handlers['cluster.heartbeat']?.(createHeartbeat(3), 'r0');
		return setup.sync.isStoreNeeded();
	});
	setup.view.applyChanges({revision: 4, changes: [{kind: 'configuration', revision: 4, configuration: {...peerState.configuration!, version: 9}}]}, 'store');
	setup.handlers['cluster.heartbeat']?.(createHeartbeat(4), 'r0');
	t.notOk(setup.sync.isStoreNeeded());
});

test('a member whose digest differs at its relay\'s revision reads the state, but not with every heartbeat', async t => {
	const setup = createSync(t, {connected: [], heartbeatMs: 3000});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	const [relay = ''] = setup.links;
	setup.view.applyChanges({revision: 9, changes: []}, 'peer');
	const heartbeat = {
		revision: 9, digest: 1, version: -1, confirmedAgoMs: 0,
	};
	setup.handlers['cluster.heartbeat']?.({...heartbeat, digest: setup.view.digest()}, relay);
	setup.handlers['cluster.heartbeat']?.({...heartbeat, digest: undefined}, relay);
	setup.handlers['cluster.heartbeat']?.(heartbeat, 'r7');
	t.same(setup.calls, [], 'an equal or missing digest or a peer that is not the source causes no call');
	setup.isUnanswered = true;
	for (let digest = 1; digest <= 20; digest++) {
		setup.handlers['cluster.heartbeat']?.({...heartbeat, digest}, relay);
	}

	t.same(setup.calls, [`cluster.state of ${relay}`]);
});

test('a peer with an unanswered call is not called again, however far ahead it is', async t => {
	const setup = createSync(t, {heartbeatMs: 2});
	setup.isUnanswered = true;
	setup.handlers['cluster.heartbeat']?.({revision: 9, version: 5, confirmedAgoMs: 0}, 'n2');
	await waitUntil(() => {
		setup.handlers['cluster.heartbeat']?.({revision: 9, version: 5, confirmedAgoMs: 0}, 'n2');
		setup.handlers['cluster.heartbeat']?.({revision: 9, version: 5, confirmedAgoMs: 0}, 'n3');
		return setup.calls.includes('cluster.state of n3');
	});
	setup.handlers['cluster.heartbeat']?.({revision: 9, version: 6, confirmedAgoMs: 0}, 'n2');
	t.same(setup.calls, ['cluster.state of n2', 'cluster.state of n3']);
});

test('changes after a gap apply at once, and the revision advances when the gap is closed', t => {
	const setup = createSync(t);
	setup.isUnanswered = true;
	setup.handlers['cluster.changes']?.({after: 6, changes: {revision: 7, changes: [{kind: 'configuration', revision: 7, configuration: {...peerState.configuration, version: 8}}]}}, 'n2');
	t.equal(setup.view.configuration()?.version, 8);
	t.equal(setup.view.revision(), -1);
	t.same(setup.calls, ['cluster.state of n2']);
	t.end();
});

test('a follower that is not steady forwards changes without the new revision', async t => {
	const setup = createSync(t, {
		connected: ['r2', 'n5'], meshNodes: 3, capacity: 9, heartbeatMs: 20,
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

/**
Guards against a holder of duties that is not sent the counts of other nodes: before the links are planned a node knows no other.
*/
test('a node is a candidate for duties only by a plan of the links in which it is a follower', async t => {
	const weak = createSync(t, {connected: [], heartbeatMs: 5});
	t.ok(weak.sync.isFollower(), 'follows the store until the fleet is known');
	t.notOk(weak.sync.isDutyCandidate());
	addNodes(weak, createFleet());
	weak.sync.start();
	await waitUntil(() => weak.links.size === 1);
	t.notOk(weak.sync.isDutyCandidate());
	const strong = createSync(t, {connected: [], heartbeatMs: 5, capacity: 3});
	t.notOk(strong.sync.isDutyCandidate());
	addNodes(strong, createFleet());
	strong.sync.start();
	await waitUntil(() => strong.sync.isDutyCandidate());
	t.ok(strong.sync.isFollower());
});

test('a load update is parsed as formatted, rounded to tokens, milliseconds and hundredths of a request', t => {
	const loads = [['i-1', {
		open: 3, pendingPrefill: [0, 1200.4], sensitivity: 1.23456, observers: 2, stalledObservers: 1, prefilledTokens: 99.6, prefillMs: 7.2, protectedStreams: 2, memoryTokens: 12_345.6,
	}]] as const;
	const placements = [{
		endpoint: 'i-1', pool: 'p', parts: ['a', 'b'], tokens: 600,
	}];
	t.same(parseLoadUpdate(formatLoadUpdate({
		origin: 'n1', nodes: 4, loads, placements,
	})), {
		nodes: 4,
		loads: [['i-1', {
			open: 3, pendingPrefill: [0, 1200], sensitivity: 1.23, observers: 2, stalledObservers: 1, prefilledTokens: 100, prefillMs: 7, protectedStreams: 2, memoryTokens: 12_346,
		}]],
		placements,
	});
	t.end();
});

test('a row without memory is parsed as 0, and one with an impossible number of tokens is refused', t => {
	const toUpdate = (...memory: readonly unknown[]) => ({nodes: 1, loads: [['i-1', 2, [], 0, 0, 0, 0, 0, ...memory]], placements: []});
	t.equal(parseLoadUpdate(toUpdate()).loads[0]?.[1].memoryTokens, 0, 'a node that does not predict memory');
	t.equal(parseLoadUpdate(toUpdate(9200)).loads[0]?.[1].memoryTokens, 9200);
	for (const memory of [-1, NaN, Infinity, '9200', null]) {
		t.throws(() => parseLoadUpdate(toUpdate(memory)), {code: 'ERR_VALVESADDLE_MESSAGE_INVALID'}, String(memory));
	}

	t.equal(parseLoadUpdate(toUpdate(0, 3)).loads[0]?.[1].protectedStreams, 3);
	t.throws(() => parseLoadUpdate(toUpdate(1, -2)), {code: 'ERR_VALVESADDLE_MESSAGE_INVALID'}, 'a negative number of streams');
	t.throws(() => parseLoadUpdate(toUpdate(1, 2, 3)), {code: 'ERR_VALVESADDLE_MESSAGE_INVALID'}, 'one field too many');
	const [row] = formatLoadUpdate({
		origin: 'n1', nodes: 1, loads: [['i-1', {...noLoad, open: 2}]], placements: [],
	}).loads;
	t.same(row, ['i-1', 2, [], 0, 0, 0, 0, 0], 'nodes that do not predict memory refuse longer rows');
	t.end();
});

test('forwarding a confirmation does not make it more recent', async t => {
	const setup = createSync(t, {connected: [], heartbeatMs: 20});
	addNodes(setup, createFleet());
	setup.sync.start();
	await waitUntil(() => setup.links.size === 1);
	const heartbeat = {revision: 3, confirmedAgoMs: 0, confirmation: {by: 'r0', number: 7}};
	setup.handlers['cluster.heartbeat']?.(heartbeat, 'r0');
	t.notOk(setup.sync.isStoreNeeded());
	await waitUntil(() => {
		for (const peer of ['r0', 'r4', 'r1']) {
			setup.handlers['cluster.heartbeat']?.(heartbeat, peer);
		}

		return setup.sync.isStoreNeeded();
	});
	setup.handlers['cluster.heartbeat']?.({...heartbeat, confirmation: {by: 'r1', number: 2}}, 'r4');
	t.notOk(setup.sync.isStoreNeeded(), 'a confirmation of another node counts separately');
});
