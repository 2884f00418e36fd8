import Emittery from 'emittery';
import type {
	ClusterChange,
	ClusterChanges,
	GatewayConfiguration,
	GatewayNode,
	ServingEndpoint,
} from '@valvesaddle/gateway-types';
import type {BeliefSource} from './belief-source.ts';
import type {ClusterEvents} from './cluster-events.ts';
import type {ClusterView} from './cluster-view.ts';
import type {ClusterViewOptions} from './cluster-view-options.ts';
import {createVersionedMap} from './create-versioned-map.ts';

type Handlers = {
	readonly [Kind in ClusterChange['kind']]: (change: Extract<ClusterChange, {readonly kind: Kind}>, source: BeliefSource) => void;
};

type Removal = Extract<ClusterChange, {readonly kind: 'endpoint-removed' | 'node-removed'}>;

/**
 Creates a node's view of the cluster, empty at first.

 @example
 const view = createClusterView({logger, metrics});
 view.applyAll(changes, 'store');
 */
export function createClusterView({logger, metrics}: ClusterViewOptions): ClusterView {
	const events = new Emittery<ClusterEvents>();
	const endpoints = createVersionedMap<ServingEndpoint>();
	const nodes = createVersionedMap<GatewayNode>();
	/**
	Endpoints and nodes that were removed while entries may have lapsed.
	*/
	const lapsed = new Map<string, Removal>();
	let configuration: GatewayConfiguration | undefined;
	let revision = -1;
	let lapseUntil = 0;
	let lapseTimer: NodeJS.Timeout | undefined;

	function removeEndpoint({id, revision: at}: Removal, source: BeliefSource): void {
		if (!endpoints.remove(id, at)) {
			return;
		}

		metrics.increment('gateway.endpoints-removed');
		logger.info({
			name: 'endpoint-believed', endpoint: id, state: 'gone', revision: at, source,
		});
		void events.emit('endpointRemoved', {id});
	}

	function removeNode({id, revision: at}: Removal): void {
		if (nodes.remove(id, at)) {
			void events.emit('nodeRemoved', {id});
		}
	}

	const removers: Readonly<Record<Removal['kind'], (removal: Removal, source: BeliefSource) => void>> = {
		'endpoint-removed': removeEndpoint,
		'node-removed': removeNode,
	};

	function expireLapsed(): void {
		lapseTimer = undefined;
		for (const removal of lapsed.values()) {
			removers[removal.kind](removal, 'store');
		}

		lapsed.clear();
	}

	/**
	An entry that may only have lapsed while the store was away is kept until it has had time to come back.
	*/
	function applyRemoval(removal: Removal, source: BeliefSource, isKnown: boolean): void {
		const now = performance.now();
		if (!isKnown || source !== 'store' || now >= lapseUntil) {
			lapsed.delete(removal.id);
			removers[removal.kind](removal, source);
			return;
		}

		if (!lapsed.has(removal.id)) {
			logger.info({
				name: 'entry-lapsed', id: removal.id, revision: removal.revision, graceMs: Math.round(lapseUntil - now),
			});
		}

		lapsed.set(removal.id, removal);
		lapseTimer ??= setTimeout(expireLapsed, lapseUntil - now);
	}

	const handlers: Handlers = {
		configuration(change, source) {
			if (change.configuration.version <= (configuration?.version ?? -1)) {
				return;
			}

			configuration = change.configuration;
			metrics.increment('gateway.configurations');
			logger.info({
				name: 'configuration-in-force', revision: configuration.version, changeId: String(change.revision), source,
			});
			void events.emit('configuration', {configuration});
		},
		endpoint({endpoint, revision: at}, source) {
			const before = endpoints.get(endpoint.id);
			if (!endpoints.set(endpoint.id, endpoint, at)) {
				return;
			}

			lapsed.delete(endpoint.id);
			if (before?.state !== endpoint.state) {
				logger.info({
					name: 'endpoint-believed', endpoint: endpoint.id, pool: endpoint.pool, state: endpoint.state, revision: at, source,
				});
			}

			void events.emit('endpoint', {endpoint});
		},
		'endpoint-removed'(change, source) {
			applyRemoval(change, source, endpoints.get(change.id) !== undefined);
		},
		node({node, revision: at}) {
			lapsed.delete(node.id);
			if (!nodes.set(node.id, node, at)) {
				return;
			}

			// A process that was started anew has taken the place of the one before.
			for (const {value: {id, address}, revision: registeredAt} of nodes.entries()) {
				if (address === node.address && registeredAt < at) {
					removeNode({kind: 'node-removed', id, revision: at});
				}
			}

			void events.emit('node', {node});
		},
		'node-removed'(change, source) {
			applyRemoval(change, source, nodes.get(change.id) !== undefined);
		},
		unreadable({key, reason, revision: at}) {
			metrics.increment('gateway.entries-unreadable');
			logger.warn({
				name: 'store-entry-unreadable', key, revision: at, reason,
			});
		},
	};

	function applyChange(change: ClusterChange, source: BeliefSource): void {
		const handle = handlers[change.kind] as (change: ClusterChange, source: BeliefSource) => void;
		handle(change, source);
	}

	function applyEach(changes: ClusterChanges, source: BeliefSource): void {
		for (const change of changes.changes) {
			applyChange(change, source);
		}

		setRevision(changes, source);
	}

	function setRevision(changes: ClusterChanges, source: BeliefSource): void {
		if (changes.revision <= revision) {
			return;
		}

		logger.info({
			name: 'beliefs-advanced', from: revision, to: changes.revision, changes: changes.changes.length, version: configuration?.version, source,
		});
		revision = changes.revision;
	}

	function applyChanges(changes: ClusterChanges, source: BeliefSource): void {
		const after = revision;
		applyEach(changes, source);
		if (revision > after) {
			void events.emit('advanced', {after, changes, source});
		}
	}

	function applyAll(changes: ClusterChanges, source: BeliefSource): void {
		const listedEndpoints = new Set(changes.changes.flatMap(change => change.kind === 'endpoint' ? [change.endpoint.id] : []));
		const listedNodes = new Set(changes.changes.flatMap(change => change.kind === 'node' ? [change.node.id] : []));
		for (const id of endpoints.listMissing(listedEndpoints, changes.revision)) {
			applyChange({kind: 'endpoint-removed', id, revision: changes.revision}, source);
		}

		for (const id of nodes.listMissing(listedNodes, changes.revision)) {
			applyChange({kind: 'node-removed', id, revision: changes.revision}, source);
		}

		applyEach(changes, source);
	}

	return {
		events,
		revision: () => revision,
		configuration: () => configuration,
		endpoints: endpoints.values,
		nodes: nodes.values,
		applyChanges,
		applyAll,
		setLapseUntil(time) {
			lapseUntil = time;
		},
		hasLapsed: () => lapsed.size > 0,
		exportState: isSteady => ({
			revision,
			configuration,
			endpoints: endpoints.entries().map(({value, revision: at}) => ({endpoint: value, revision: at})),
			nodes: nodes.entries().map(({value, revision: at}) => ({node: value, revision: at})),
			isSteady,
		}),
		importState(state) {
			if (state.configuration !== undefined) {
				applyChange({kind: 'configuration', revision: state.revision, configuration: state.configuration}, 'peer');
			}

			const changes: ClusterChange[] = state.endpoints.map(({endpoint, revision: at}) => ({kind: 'endpoint', revision: at, endpoint}));
			changes.push(...state.nodes.map(({node, revision: at}) => ({kind: 'node' as const, revision: at, node})));
			// A peer that was in touch with the store all the while also knows which entries were removed and did not lapse.
			const isAhead = state.revision > revision || (state.revision === revision && lapsed.size > 0);
			const apply = isAhead && state.isSteady ? applyAll : applyChanges;
			apply({revision: state.isSteady ? state.revision : revision, changes}, 'peer');
		},
		close() {
			clearTimeout(lapseTimer);
			events.clearListeners();
		},
	};
}
