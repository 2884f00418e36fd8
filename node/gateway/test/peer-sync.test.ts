import Emittery from 'emittery';
import {okAsync} from 'neverthrow';
import {test, type Test} from 'tap';
import {createClusterView, measureFleet, type ClusterState} from '@valvesaddle/cluster-view';
import {waitUntil} from '@valvesaddle/fake-fleet';
import type {GatewayNode} from '@valvesaddle/gateway-types';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import type {PeerEvents, PeerNetwork} from '@valvesaddle/network';
import {createSelector} from '@valvesaddle/selection';
import {createPeerSync} from '../src/create-peer-sync.ts';

const peerState: ClusterState = {
	revision: 9,
	configuration: {
		version: 4, routes: [], pools: [{name: 'p', maximumConnections: 10, engine: undefined}], limits: {
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
	isSteady: true,
};

/**
A node `n1` whose store does not answer, with a peer `n2` that is up to date.
*/
function createSync(t: Test) {
	const logger = createLogger({node: 'n1', level: 'silent'});
	const metrics = createMetrics();
	const view = createClusterView({logger, metrics});
	const events = new Emittery<PeerEvents>();
	const calls: string[] = [];
	const notified: Array<readonly [node: string, method: string]> = [];
	const network: PeerNetwork = {
		events,
		listen: async () => '',
		call(node, method) {
			calls.push(`${method} of ${node}`);
			return okAsync(peerState);
		},
		notify(node, method) {
			notified.push([node, method]);
		},
		broadcast() {
			// Nobody listens.
		},
		connected: () => ['n2'],
		async close() {
			// Nothing is open.
		},
	};
	const selector = createSelector({
		longPromptTokens: 5000, longShare: 0.5, shortUse: 0.5, longUse: 0.8, shortFillUse: 0.6, laneAverageMs: 3000, leaveLaneShare: 1, reuseMs: 10_000, rereadMsPerToken: 0.3, prefillTokensPerMs: 50,
	});
	const {sync, handlers} = createPeerSync({
		node: 'n1',
		network,
		view,
		follower: {
			start() {
				// The store does not answer.
			},
			isReachable: () => false,
			isSteady: () => false,
			async close() {
				// Nothing was started.
			},
		},
		selector,
		newsMs: 1,
		heartbeatMs: 1,
		logger,
		metrics,
	});
	t.teardown(() => {
		sync.close();
		view.close();
	});
	return {
		view, events, calls, notified, selector, sync, handlers,
	};
}

test('a node that the store refuses learns configuration and drains from a peer that is ahead', async t => {
	const {view, calls, handlers} = createSync(t);
	handlers['cluster.heartbeat']?.({revision: 9, isSteady: true}, 'n2');
	await waitUntil(() => view.configuration()?.version === 4);
	t.same(view.endpoints().map(({state}) => state), ['draining']);
	t.equal(view.revision(), 9);
	handlers['cluster.heartbeat']?.({revision: 9, isSteady: true}, 'n2');
	t.same(calls, ['cluster.state of n2'], 'a peer that is not ahead is not asked');
});

test('a peer that lost the store itself is not asked', t => {
	const {calls, handlers} = createSync(t);
	handlers['cluster.heartbeat']?.({revision: 9, isSteady: false}, 'n2');
	t.same(calls, []);
	t.end();
});

test('messages of a wrong form change nothing', t => {
	const {view, handlers} = createSync(t);
	t.throws(() => handlers['cluster.heartbeat']?.({revision: 'nine'}, 'n2'));
	t.throws(() => handlers['load.news']?.({loads: [['i-1', {open: -1}]], placements: []}, 'n2'));
	t.equal(view.revision(), -1);
	t.end();
});

test('of two nodes the one with the smaller id opens the link, and a new peer is told all own work', async t => {
	const {view, events, notified, sync} = createSync(t);
	const toNode = (id: string): GatewayNode => ({id, address: '10.0.0.2:1', token: 'x'});
	view.applyChanges({revision: 3, changes: ['n0', 'n2', 'n3'].map(id => ({kind: 'node' as const, revision: 3, node: toNode(id)}))}, 'peer');
	sync.start();
	await waitUntil(() => notified.length > 0);
	t.same(notified[0], ['n3', 'load.news'], 'n0 opens its own link, n2 is linked');
	sync.close();
	notified.length = 0;
	await events.emit('found', {node: 'n2'});
	t.same(notified, [['n2', 'load.news']]);
});

test('what every node tells every other comes less often in a larger fleet, up to a bound', t => {
	t.equal(measureFleet(0), 1);
	t.equal(measureFleet(9), 1);
	t.equal(measureFleet(90), 10);
	t.equal(measureFleet(380), 12);
	t.end();
});
