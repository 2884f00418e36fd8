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
	Endpoints that were removed while entries may have lapsed, with the revision of the removal.
	*/
	const lapsed = new Map<string, number>();
	let configuration: GatewayConfiguration | undefined;
	let revision = -1;
	let lapseUntil = 0;
	let lapseTimer: NodeJS.Timeout | undefined;

	function removeEndpoint(id: string, at: number, source: BeliefSource): void {
		lapsed.delete(id);
		if (!endpoints.remove(id, at)) {
			return;
		}

		metrics.increment('gateway.endpoints-removed');
		logger.info({
			name: 'endpoint-believed', endpoint: id, state: 'gone', revision: at, source,
		});
		void events.emit('endpointRemoved', {id});
	}

	function expireLapsed(): void {
		lapseTimer = undefined;
		for (const [id, at] of lapsed) {
			removeEndpoint(id, at, 'store');
		}
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
		'endpoint-removed'({id, revision: at}, source) {
			const now = performance.now();
			if (source !== 'store' || now >= lapseUntil || endpoints.get(id) === undefined) {
				removeEndpoint(id, at, source);
				return;
			}

			lapsed.set(id, at);
			lapseTimer ??= setTimeout(expireLapsed, lapseUntil - now);
		},
		node({node, revision: at}) {
			if (nodes.set(node.id, node, at)) {
				void events.emit('node', {node});
			}
		},
		'node-removed'({id, revision: at}) {
			if (nodes.remove(id, at)) {
				void events.emit('nodeRemoved', {id});
			}
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

	function applyChanges(changes: ClusterChanges, source: BeliefSource): void {
		for (const change of changes.changes) {
			applyChange(change, source);
		}

		revision = Math.max(revision, changes.revision);
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

		applyChanges(changes, source);
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
		exportState: isSteady => ({
			revision,
			configuration,
			endpoints: endpoints.entries().map(({value, revision: at}) => ({endpoint: value, revision: at})),
			nodes: nodes.values(),
			isSteady,
		}),
		importState(state) {
			if (state.configuration !== undefined) {
				applyChange({kind: 'configuration', revision: state.revision, configuration: state.configuration}, 'peer');
			}

			const changes: ClusterChange[] = state.endpoints.map(({endpoint, revision: at}) => ({kind: 'endpoint', revision: at, endpoint}));
			changes.push(...state.nodes.map(node => ({kind: 'node' as const, revision: state.revision, node})));
			const apply = state.isSteady && state.revision > revision ? applyAll : applyChanges;
			apply({revision: state.isSteady ? state.revision : revision, changes}, 'peer');
		},
		close() {
			clearTimeout(lapseTimer);
			events.clearListeners();
		},
	};
}
