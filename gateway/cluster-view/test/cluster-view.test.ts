import {Clock} from 'clock-mock';
import {test, type Test} from 'tap';
import type {
	ClusterChange,
	GatewayConfiguration,
	GatewayNode,
	ServingEndpoint,
} from '@valvesaddle/gateway-types';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createClusterView} from '@valvesaddle/cluster-view';

const endpoint: ServingEndpoint = {
	id: 'i-1', pool: 'p', address: '10.0.0.1:80', dataCentre: 'a', slots: 4, state: 'ready',
};

function createView(t: Test) {
	const view = createClusterView({logger: createLogger({node: 'n', level: 'silent'}), metrics: createMetrics()});
	t.teardown(view.close);
	return view;
}

function toChange(id: string, revision: number, state: ServingEndpoint['state'] = 'ready'): ClusterChange {
	return {kind: 'endpoint', revision, endpoint: {...endpoint, id, state}};
}

function toConfiguration(version: number): GatewayConfiguration {
	return {
		version, routes: [], pools: [], limits: {
			headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		}, accounts: [],
	};
}

test('an older configuration is never restored, from any source', t => {
	const view = createView(t);
	view.applyChanges({revision: 5, changes: [{kind: 'configuration', revision: 5, configuration: toConfiguration(7)}]}, 'store');
	for (const source of ['store', 'peer'] as const) {
		view.applyAll({revision: 9, changes: [{kind: 'configuration', revision: 9, configuration: toConfiguration(6)}]}, source);
		t.equal(view.configuration()?.version, 7);
	}

	view.applyAll({revision: 10, changes: []}, 'store');
	t.equal(view.configuration()?.version, 7, 'a list without a configuration does not remove it');
	t.end();
});

test('a removed endpoint is not restored by an older entry', t => {
	const view = createView(t);
	view.applyAll({revision: 5, changes: [toChange('i-1', 3), toChange('i-2', 4)]}, 'store');
	view.applyChanges({revision: 6, changes: [{kind: 'endpoint-removed', revision: 6, id: 'i-1'}]}, 'store');
	view.importState({
		revision: 5, configuration: undefined, endpoints: [{endpoint, revision: 3}], nodes: [], removed: [], isSteady: true,
	});
	t.same(view.endpoints().map(({id}) => id), ['i-2']);
	view.applyChanges({revision: 7, changes: [toChange('i-1', 7)]}, 'store');
	t.equal(view.endpoints().length, 2);
	t.end();
});

test('entries that a list lacks are removed, unless they are newer than the list', t => {
	const view = createView(t);
	view.applyChanges({revision: 8, changes: [toChange('i-1', 3), toChange('i-2', 8)]}, 'store');
	view.applyAll({revision: 6, changes: []}, 'store');
	t.same(view.endpoints().map(({id}) => id), ['i-2']);
	t.end();
});

test('entries whose lease expired in an outage can register again in the grace period, and are removed after it', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const view = createView(t);
	view.applyAll({revision: 5, changes: [toChange('i-1', 3), toChange('i-2', 4), toChange('i-3', 5)]}, 'store');
	view.setRemovalGraceUntil(performance.now() + 2000);
	view.applyAll({revision: 9, changes: [toChange('i-3', 5)]}, 'store');
	t.equal(view.endpoints().length, 3);
	clock.advance(1500);
	view.applyChanges({revision: 10, changes: [toChange('i-1', 10)]}, 'store');
	clock.advance(499);
	t.equal(view.endpoints().length, 3);
	clock.advance(1);
	t.same(view.endpoints().map(({id}) => id).toSorted((a, b) => a.localeCompare(b)), ['i-1', 'i-3']);
	t.end();
});

test('removals of a steady peer are applied at once, those of another peer are not', t => {
	const view = createView(t);
	view.applyAll({revision: 5, changes: [toChange('i-1', 3)]}, 'store');
	view.setRemovalGraceUntil(performance.now() + 60_000);
	const state = {
		revision: 9, configuration: toConfiguration(4), endpoints: [], nodes: [], removed: [],
	};
	view.importState({...state, isSteady: false});
	t.equal(view.endpoints().length, 1);
	t.equal(view.configuration()?.version, 4);
	t.equal(view.revision(), 5, 'the store is still watched from the own revision');
	view.importState({...state, isSteady: true});
	t.equal(view.endpoints().length, 0);
	t.equal(view.revision(), 9);
	t.end();
});

test('a pending removal is applied as soon as a steady peer at the same revision lacks the entry', t => {
	const view = createView(t);
	view.applyAll({revision: 5, changes: [toChange('i-1', 3)]}, 'store');
	view.setRemovalGraceUntil(performance.now() + 60_000);
	view.applyChanges({revision: 9, changes: [{kind: 'endpoint-removed', id: 'i-1', revision: 9}]}, 'store');
	t.equal(view.endpoints().length, 1);
	t.ok(view.hasPendingRemovals());
	const state = {
		revision: 9, configuration: undefined, endpoints: [], nodes: [], removed: [],
	};
	view.importState({...state, isSteady: false});
	t.equal(view.endpoints().length, 1);
	view.importState({...state, isSteady: true});
	t.equal(view.endpoints().length, 0);
	t.notOk(view.hasPendingRemovals());
	t.end();
});

test('an unreadable entry does not hide others', t => {
	const view = createView(t);
	view.applyAll({
		revision: 5, changes: [{
			kind: 'unreadable', revision: 2, key: 'servers/x', reason: 'no JSON', isConfiguration: false,
		}, toChange('i-1', 3)],
	}, 'store');
	t.equal(view.endpoints().length, 1);
	t.end();
});

function toNode(id: string, address: string): GatewayNode {
	return {
		id, address, token: 'x', dataCentre: 'a', capacity: 1,
	};
}

test('a restarted node replaces the former one at its address, and an older entry does not restore it', t => {
	const view = createView(t);
	view.applyChanges({revision: 5, changes: [{kind: 'node', revision: 5, node: toNode('n1.old', '10.0.0.1:7')}, {kind: 'node', revision: 5, node: toNode('n2', '10.0.0.2:7')}]}, 'store');
	view.applyChanges({revision: 8, changes: [{kind: 'node', revision: 8, node: toNode('n1.new', '10.0.0.1:7')}]}, 'store');
	t.same(view.nodes().map(({id}) => id), ['n2', 'n1.new']);
	view.importState({
		revision: 6, configuration: undefined, endpoints: [], nodes: [{node: toNode('n1.old', '10.0.0.1:7'), revision: 5}], removed: [], isSteady: false,
	});
	t.same(view.nodes().map(({id}) => id), ['n2', 'n1.new']);
	t.end();
});

test('nodes whose lease expired in an outage stay in the view until the grace period is over', t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const view = createView(t);
	view.applyChanges({revision: 5, changes: [{kind: 'node', revision: 5, node: toNode('n1', '10.0.0.1:7')}]}, 'store');
	view.setRemovalGraceUntil(performance.now() + 2000);
	view.applyChanges({revision: 6, changes: [{kind: 'node-removed', revision: 6, id: 'n1'}]}, 'store');
	t.equal(view.nodes().length, 1);
	clock.advance(2000);
	t.equal(view.nodes().length, 0);
	t.end();
});

test('the digest depends only on the entries, not on the order of changes, and differs for other entries at the same revision', t => {
	const view = createView(t);
	const other = createView(t);
	view.applyChanges({revision: 5, changes: [toChange('i-1', 3), toChange('i-2', 4)]}, 'store');
	view.applyChanges({revision: 9, changes: [{kind: 'endpoint-removed', id: 'i-2', revision: 9}, {kind: 'configuration', revision: 8, configuration: toConfiguration(2)}]}, 'store');
	other.applyChanges({revision: 9, changes: [toChange('i-2', 4), toChange('i-1', 3)]}, 'store');
	t.equal(other.revision(), view.revision());
	t.not(other.digest(), view.digest());
	other.importState(view.exportState(true));
	t.equal(other.digest(), view.digest());
	t.same(other.endpoints(), view.endpoints());
	other.applyChanges({revision: 10, changes: [toChange('i-1', 10, 'draining')]}, 'store');
	t.not(other.digest(), view.digest());
	t.end();
});

test('new changes are emitted from any source, and pending removals when the grace period is over', async t => {
	const clock = new Clock();
	t.teardown(clock.enter());
	const view = createView(t);
	const emitted: unknown[] = [];
	view.events.on('advanced', ({data: {after, changes}}) => {
		emitted.push([after, changes.revision, changes.changes.map(({kind}) => kind)]);
	});
	view.applyAll({revision: 5, changes: [toChange('i-1', 3), toChange('i-2', 4)]}, 'store');
	view.applyAll({revision: 7, changes: [toChange('i-1', 3), {kind: 'configuration', revision: 7, configuration: toConfiguration(2)}]}, 'store');
	view.importState({
		revision: 6, configuration: toConfiguration(3), endpoints: [], nodes: [], removed: [], isSteady: false,
	});
	view.applyChanges({revision: 7, changes: [toChange('i-1', 3)]}, 'peer');
	view.setRemovalGraceUntil(performance.now() + 2000);
	view.applyAll({revision: 9, changes: []}, 'store');
	clock.advance(2000);
	view.applyChanges({revision: 9, changes: [toChange('i-3', 10)]}, 'peer');
	view.applyChanges({revision: 10, changes: [toChange('i-3', 10)]}, 'store');
	await Promise.resolve();
	await view.events.emit('nodeRemoved', {id: 'none'});
	t.same(emitted, [
		[-1, -1, ['endpoint', 'endpoint']],
		[5, 5, ['endpoint-removed', 'configuration']],
		[7, 7, ['configuration']],
		[9, 9, ['endpoint-removed']],
		[9, 9, ['endpoint']],
		[9, 10, ['endpoint']],
	]);
});

test('of two nodes at one address the later one stays, in either order of arrival', t => {
	for (const order of [['n1.old', 'n1.new'], ['n1.new', 'n1.old']]) {
		const view = createView(t);
		view.applyAll({revision: 9, changes: order.map(id => ({kind: 'node' as const, revision: id === 'n1.new' ? 8 : 5, node: toNode(id, '10.0.0.1:7')}))}, 'store');
		t.same(view.nodes().map(({id}) => id), ['n1.new']);
	}

	t.end();
});

test('at the same revision, entries that a peer lacks stay and those it has tombstones of are removed', t => {
	const view = createView(t);
	view.applyChanges({revision: 9, changes: [toChange('i-1', 3), toChange('i-2', 4), toChange('i-3', 8)]}, 'peer');
	view.importState({
		revision: 9, configuration: undefined, endpoints: [{endpoint, revision: 3}], nodes: [], removed: [{kind: 'endpoint-removed', id: 'i-2', revision: 7}, {kind: 'endpoint-removed', id: 'i-3', revision: 6}], isSteady: true,
	});
	t.same(view.endpoints().map(({id}) => id), ['i-1', 'i-3'], 'i-3 was written again after its removal');
	t.end();
});
