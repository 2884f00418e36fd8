import fc from 'fast-check';
import {test, type Test} from 'tap';
import type {ClusterChange, ServingEndpoint} from '@valvesaddle/gateway-types';
import {createLogger} from '@valvesaddle/logger';
import {createMetrics} from '@valvesaddle/metrics';
import {createClusterView, type ClusterView} from '@valvesaddle/cluster-view';

const endpoint: ServingEndpoint = {
	id: 'i-1', pool: 'p', address: '10.0.0.1:80', dataCentre: 'a', slots: 4, state: 'ready', born: 1000,
};

function createView(t: Test) {
	const metrics = createMetrics();
	const view = createClusterView({logger: createLogger({node: 'n', level: 'silent'}), metrics});
	t.teardown(view.close);
	const emitted: string[] = [];
	view.events.on('incarnation', ({data}) => {
		emitted.push(`${data.before.born ?? 'none'} to ${data.endpoint.born ?? 'none'}`);
	});
	view.events.on('endpoint', ({data}) => {
		emitted.push(`${data.endpoint.born ?? 'none'} ${data.endpoint.state}`);
	});
	view.events.on('endpointRemoved', () => {
		emitted.push('removed');
	});
	return {
		view, metrics, emitted,
		async settle() {
			await view.events.emit('nodeRemoved', {id: 'none'});
		},
	};
}

function toChange(revision: number, change: Partial<ServingEndpoint> = {}): ClusterChange {
	return {kind: 'endpoint', revision, endpoint: {...endpoint, ...change}};
}

function toUnreadable(revision: number, id = 'i-1'): ClusterChange {
	return {
		kind: 'unreadable', revision, key: `servers/${id}`, reason: 'no JSON', isConfiguration: false, endpoint: id,
	};
}

function withoutStartTime(): ServingEndpoint {
	const {born: _born, ...rest} = endpoint;
	return rest;
}

test('a restart under the same id is emitted once, from any source and however often it arrives', async t => {
	const {view, emitted, metrics, settle} = createView(t);
	view.applyAll({revision: 5, changes: [toChange(5)]}, 'store');
	view.applyChanges({revision: 8, changes: [toChange(8, {born: 2000, address: '10.0.0.2:80'})]}, 'peer');
	view.applyChanges({revision: 8, changes: [toChange(8, {born: 2000, address: '10.0.0.2:80'})]}, 'store');
	view.applyAll({revision: 9, changes: [toChange(8, {born: 2000, address: '10.0.0.2:80'})]}, 'store');
	view.applyChanges({revision: 10, changes: [toChange(10, {born: 2000, state: 'draining'})]}, 'store');
	await settle();
	t.same(emitted, ['1000 ready', '1000 to 2000', '2000 ready', '2000 draining']);
	t.equal(metrics.total('gateway.endpoint-incarnations'), 1);
});

test('a late entry of an older incarnation changes nothing, at any revision and from any source', async t => {
	const {view, emitted, metrics, settle} = createView(t);
	view.applyAll({revision: 5, changes: [toChange(5, {born: 2000})]}, 'store');
	view.applyChanges({revision: 9, changes: [toChange(9, {address: '10.0.0.9:80'})]}, 'store');
	view.applyAll({revision: 9, changes: [toChange(9, {address: '10.0.0.9:80'})]}, 'store');
	view.applyChanges({revision: 9, changes: [toChange(9)]}, 'peer');
	view.importState({
		revision: 10, configuration: undefined, endpoints: [{endpoint, revision: 9}], nodes: [], removed: [], isSteady: true,
	});
	await settle();
	t.same(emitted, ['2000 ready']);
	t.match(view.endpoints(), [{born: 2000, address: '10.0.0.1:80'}]);
	t.equal(metrics.total('gateway.endpoints-outdated'), 1, 'once for its revision');
});

test('entries without a start time are one incarnation, which precedes all others', async t => {
	const {view, emitted, settle} = createView(t);
	view.applyChanges({revision: 5, changes: [{kind: 'endpoint', revision: 5, endpoint: withoutStartTime()}]}, 'store');
	view.applyChanges({revision: 6, changes: [{kind: 'endpoint', revision: 6, endpoint: {...withoutStartTime(), state: 'draining'}}]}, 'store');
	view.applyChanges({revision: 7, changes: [toChange(7)]}, 'store');
	view.applyChanges({revision: 8, changes: [{kind: 'endpoint', revision: 8, endpoint: withoutStartTime()}]}, 'store');
	await settle();
	t.same(emitted, ['none ready', 'none draining', 'none to 1000', '1000 ready']);
});

test('a removed incarnation is not restored, and the next one is added', async t => {
	const {view, emitted, settle} = createView(t);
	view.applyChanges({revision: 5, changes: [toChange(5)]}, 'store');
	view.applyChanges({revision: 6, changes: [{kind: 'endpoint-removed', id: 'i-1', revision: 6}]}, 'store');
	view.applyChanges({revision: 6, changes: [toChange(5)]}, 'peer');
	view.applyChanges({revision: 7, changes: [toChange(7, {born: 2000})]}, 'store');
	await settle();
	t.same(emitted, ['1000 ready', 'removed', '2000 ready']);
});

test('an unreadable entry drains its endpoint, and the next entry that the endpoint writes makes it ready again', async t => {
	const {view, emitted, metrics, settle} = createView(t);
	view.applyAll({revision: 5, changes: [toChange(4), toChange(5, {id: 'i-2'})]}, 'store');
	view.applyAll({revision: 8, changes: [toUnreadable(8), toChange(5, {id: 'i-2'})]}, 'store');
	view.applyAll({revision: 9, changes: [toUnreadable(8), toUnreadable(9, 'i-3'), toChange(5, {id: 'i-2'})]}, 'store');
	t.match(view.endpoints(), [{id: 'i-1', state: 'draining'}, {id: 'i-2', state: 'ready'}]);
	t.equal(metrics.total('gateway.entries-unreadable'), 2, 'once for each revision of a key');
	view.applyChanges({revision: 10, changes: [toChange(10)]}, 'store');
	t.match(view.endpoints(), [{id: 'i-1', state: 'ready'}, {id: 'i-2', state: 'ready'}]);
	await settle();
	t.same(emitted, ['1000 ready', '1000 ready', '1000 draining', '1000 ready']);
});

const changes = fc.array(fc.record({
	revision: fc.integer({min: 1, max: 9}), born: fc.constantFrom(1000, 2000, 3000), state: fc.constantFrom('ready' as const, 'draining' as const),
}), {maxLength: 12});

/**
Keeps one entry for each revision, as in the store.
*/
function toHistory(entries: ReadonlyArray<{readonly revision: number; readonly born: number; readonly state: ServingEndpoint['state']}>): readonly ClusterChange[] {
	return new Map(entries.map(entry => [entry.revision, entry])).values().map(({revision, ...rest}) => toChange(revision, rest)).toArray();
}

function applyEach(view: ClusterView, history: readonly ClusterChange[]): readonly ServingEndpoint[] {
	for (const change of history) {
		view.applyChanges({revision: 9, changes: [change]}, 'peer');
	}

	return view.endpoints();
}

test('views that receive the same entries have the same incarnation, in any order of arrival', t => {
	fc.assert(fc.property(changes, fc.infiniteStream(fc.nat()), (entries, keys) => {
		const history = toHistory(entries);
		const shuffled = history.map(change => ({change, key: keys.next().value as number})).toSorted((a, b) => a.key - b.key).map(({change}) => change);
		const {view: first} = createView(t);
		const {view: second} = createView(t);
		t.same(applyEach(first, history), applyEach(second, shuffled));
		t.equal(first.digest(), second.digest());
	}));
	t.end();
});
