/*
A node that is behind requests only the entries newer than its revision. Guards against a partial state that leaves out a change,
such as a removal or an entry that was removed and added again.
*/
import fc from 'fast-check';
import {test} from 'tap';
import {createMetrics} from '@valvesaddle/metrics';
import type {ClusterChange} from '@valvesaddle/gateway-types';
import {createClusterView} from '@valvesaddle/cluster-view';

const logger = {
	info() {
		// Log lines are not checked here.
	},
	warn() {
		// As above.
	},
	error() {
		// As above.
	},
	async flush() {
		// Nothing is buffered.
	},
};

function createView() {
	return createClusterView({logger, metrics: createMetrics()});
}

type Step = {
	readonly kind: 'endpoint' | 'endpoint-removed' | 'node' | 'node-removed';
	readonly number: number;
};

function toChange({kind, number}: Step, revision: number): ClusterChange {
	const id = `${kind.startsWith('node') ? 'n' : 'i'}-${number}`;
	const changes: Readonly<Record<Step['kind'], ClusterChange>> = {
		endpoint: {
			kind: 'endpoint', revision, endpoint: {
				id, pool: 'p', address: `10.0.0.${number}:1`, dataCentre: 'a', slots: 4, state: revision % 2 === 0 ? 'ready' : 'draining',
			},
		},
		'endpoint-removed': {kind: 'endpoint-removed', id, revision},
		node: {
			kind: 'node', revision, node: {
				id, address: `10.0.1.${number}:1`, token: 't', dataCentre: 'a', capacity: 1,
			},
		},
		'node-removed': {kind: 'node-removed', id, revision},
	};
	return changes[kind];
}

const step = fc.record({kind: fc.constantFrom<Array<Step['kind']>>('endpoint', 'endpoint-removed', 'node', 'node-removed'), number: fc.integer({min: 0, max: 5})});

test('the entries newer than its revision bring a node to the state of its peer', t => {
	fc.assert(fc.property(fc.array(step, {minLength: 1, maxLength: 40}), fc.nat(40), (steps, known) => {
		const peer = createView();
		const behind = createView();
		for (const [index, each] of steps.entries()) {
			const revision = index + 1;
			const changes = {revision, changes: [toChange(each, revision)]};
			peer.applyChanges(changes, 'store');
			if (index < known) {
				behind.applyChanges(changes, 'store');
			}
		}

		const state = peer.exportState(true, behind.revision());
		behind.importState(state);
		return behind.digest() === peer.digest() && behind.revision() === peer.revision()
			&& state.endpoints.length + state.nodes.length <= steps.length - Math.min(known, steps.length);
	}));
	t.end();
});

test('a peer whose tombstones do not reach back to the revision sends all entries', t => {
	const peer = createView();
	const endpoints = 300;
	for (let number = 0; number < endpoints; number++) {
		peer.applyChanges({revision: number + 1, changes: [toChange({kind: 'endpoint', number}, number + 1)]}, 'store');
	}

	for (let number = 0; number < endpoints - 1; number++) {
		const revision = endpoints + number + 1;
		peer.applyChanges({revision, changes: [toChange({kind: 'endpoint-removed', number}, revision)]}, 'store');
	}

	t.equal(peer.exportState(true, endpoints).since, undefined);
	t.equal(peer.exportState(true, endpoints + 200).since, endpoints + 200);
	const behind = createView();
	behind.applyChanges({revision: endpoints, changes: Array.from({length: endpoints}, (_value, number) => toChange({kind: 'endpoint', number}, number + 1))}, 'store');
	behind.importState(peer.exportState(true, behind.revision()));
	t.equal(behind.digest(), peer.digest());
	t.end();
});
