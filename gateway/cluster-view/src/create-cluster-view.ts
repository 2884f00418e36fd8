import Emittery from 'emittery';
import type {
	ClusterChange,
	ClusterChanges,
	GatewayConfiguration,
	GatewayNode,
	ServingEndpoint,
} from '@valvesaddle/gateway-types';
import type {StateSource} from './state-source.ts';
import type {ClusterEvents} from './cluster-events.ts';
import type {ClusterView} from './cluster-view.ts';
import type {ClusterViewOptions} from './cluster-view-options.ts';
import {toState} from './to-state.ts';
import {createPendingRemovals} from './create-pending-removals.ts';
import {createSeenRevisions} from './create-seen-revisions.ts';
import {createVersionedMap} from './create-versioned-map.ts';
import {hashEntry} from './hash-entry.ts';
import {listStateChanges} from './list-state-changes.ts';
import type {Removal} from './removal.ts';
import type {UnreadableEntry} from './unreadable-entry.ts';

type Handlers = {
	/**
	Returns the changes that were new to the view.
	*/
	readonly [Kind in ClusterChange['kind']]: (change: Extract<ClusterChange, {readonly kind: Kind}>, source: StateSource) => AppliedChanges;
};

type AppliedChanges = readonly ClusterChange[];

type EndpointChange = Extract<ClusterChange, {readonly kind: 'endpoint'}>;

const noChanges: AppliedChanges = [];

/**
Limits the logged reason of an unreadable entry: it may quote text of any length from the entry.
*/
const maximumReasonCharacters = 200;

/**
 Creates a node's view of the cluster, empty at first.

 @example
 const view = createClusterView({logger, metrics});
 view.applyAll(changes, 'store');
 */
export function createClusterView({logger, metrics}: ClusterViewOptions): ClusterView {
	const events = new Emittery<ClusterEvents>();
	const endpoints = createVersionedMap<ServingEndpoint>(getStartTime);
	const nodes = createVersionedMap<GatewayNode>();
	const pendingRemovals = createPendingRemovals({logger, onExpired: applyPendingRemovals});
	/**
	Revisions that were logged: each list and each peer sends them again.
	*/
	const seenUnreadable = createSeenRevisions();
	const seenOutdated = createSeenRevisions();
	/**
	Node that registered last at each address, and the revision of its registration.
	*/
	const addresses = new Map<string, {readonly id: string; readonly at: number}>();
	let configuration: GatewayConfiguration | undefined;
	let revision = -1;
	/**
	Revision of the configuration in force.
	*/
	let configurationRevision = -1;
	/**
	The last configuration that could not be decoded.
	*/
	let unreadable: UnreadableEntry | undefined;

	function findUnreadable(): UnreadableEntry | undefined {
		return unreadable !== undefined && unreadable.revision > configurationRevision ? unreadable : undefined;
	}

	function removeEndpoint(removal: Removal, source: StateSource): AppliedChanges {
		const {id, revision: at} = removal;
		const endpoint = endpoints.get(id);
		const wasKnown = endpoints.remove(id, at);
		if (!wasKnown || endpoint === undefined) {
			return noChanges;
		}

		metrics.increment('gateway.endpoints-removed');
		logger.info({
			name: 'endpoint-believed', endpoint: id, state: 'gone', revision: at, source,
		});
		void events.emit('endpointRemoved', {id, endpoint});
		return [removal];
	}

	function removeNode(removal: Removal): AppliedChanges {
		if (!nodes.remove(removal.id, removal.revision)) {
			return noChanges;
		}

		void events.emit('nodeRemoved', {id: removal.id});
		return [removal];
	}

	const removers: Readonly<Record<Removal['kind'], (removal: Removal, source: StateSource) => AppliedChanges>> = {
		'endpoint-removed': removeEndpoint,
		'node-removed': removeNode,
	};

	function applyPendingRemovals(removals: readonly Removal[]): void {
		for (const removal of removals) {
			removers[removal.kind](removal, 'store');
		}

		// Peers have this revision already, but without these removals.
		void events.emit('advanced', {after: revision, changes: {revision, changes: removals}, source: 'store'});
	}

	/**
	Holds the removal of an entry whose lease may have expired in a store outage until the grace period ends.
	*/
	function applyRemoval(removal: Removal, source: StateSource, isKnown: boolean): AppliedChanges {
		if (isKnown && source === 'store' && pendingRemovals.isOpen()) {
			pendingRemovals.add(removal);
			return noChanges;
		}

		pendingRemovals.remove(removal.id);
		return removers[removal.kind](removal, source);
	}

	/**
	Removes the older of two nodes at one address: its process was replaced by the newer one. Their entries may arrive in any order.
	*/
	function removeReplaced(node: GatewayNode, at: number): void {
		const before = addresses.get(node.address);
		addresses.set(node.address, {id: node.id, at});
		if (before === undefined || before.id === node.id || nodes.get(before.id)?.address !== node.address) {
			return;
		}

		if (before.at < at) {
			removeNode({kind: 'node-removed', id: before.id, revision: at});
		} else {
			addresses.set(node.address, before);
			removeNode({kind: 'node-removed', id: node.id, revision: before.at});
		}
	}

	/**
	Logs an entry of an older incarnation. It is ignored at any revision, since its process has ended.
	*/
	function recordOutdated({endpoint, revision: at}: EndpointChange, source: StateSource): void {
		const {id, born} = endpoint;
		const current = endpoints.get(id);
		if (current === undefined || getStartTime(current) <= getStartTime(endpoint) || !seenOutdated.add(id, at)) {
			return;
		}

		metrics.increment('gateway.endpoints-outdated');
		logger.info({
			name: 'endpoint-outdated', endpoint: id, born, believed: current.born, revision: at, source,
		});
	}

	function emitIncarnation(before: ServingEndpoint, {endpoint, revision: at}: EndpointChange, source: StateSource): void {
		if (before.born === endpoint.born) {
			return;
		}

		metrics.increment('gateway.endpoint-incarnations');
		logger.info({
			name: 'endpoint-incarnation', endpoint: endpoint.id, born: endpoint.born, before: before.born, revision: at, source,
		});
		void events.emit('incarnation', {endpoint, before});
	}

	function recordUnreadable({key, reason, revision: at}: UnreadableEntry): void {
		if (!seenUnreadable.add(key, at)) {
			return;
		}

		metrics.increment('gateway.entries-unreadable');
		logger.warn({
			name: 'store-entry-unreadable', key, revision: at, reason: reason.slice(0, maximumReasonCharacters),
		});
	}

	/**
	An endpoint with an unreadable entry is draining: it gets no new requests, and its open ones go on.
	*/
	function drainUnreadable({endpoint: id = '', revision: at}: UnreadableEntry, source: StateSource): AppliedChanges {
		const current = endpoints.get(id);
		return current === undefined ? noChanges : handlers.endpoint({kind: 'endpoint', revision: at, endpoint: {...current, state: 'draining'}}, source);
	}

	const handlers: Handlers = {
		configuration(change, source) {
			if (change.configuration.version <= (configuration?.version ?? -1)) {
				return noChanges;
			}

			configuration = change.configuration;
			configurationRevision = change.revision;
			metrics.increment('gateway.configurations');
			logger.info({
				name: 'configuration-in-force', revision: configuration.version, changeId: String(change.revision), source,
			});
			void events.emit('configuration', {configuration});
			return [change];
		},
		endpoint(change, source) {
			const {endpoint, revision: at} = change;
			const before = endpoints.get(endpoint.id);
			if (!endpoints.set(endpoint.id, endpoint, at)) {
				recordOutdated(change, source);
				return noChanges;
			}

			pendingRemovals.remove(endpoint.id);
			if (before !== undefined) {
				emitIncarnation(before, change, source);
			}

			if (before?.state !== endpoint.state) {
				logger.info({
					name: 'endpoint-believed', endpoint: endpoint.id, pool: endpoint.pool, state: endpoint.state, revision: at, source,
				});
			}

			void events.emit('endpoint', {endpoint});
			return [change];
		},
		'endpoint-removed'(change, source) {
			return applyRemoval(change, source, endpoints.get(change.id) !== undefined);
		},
		node(change) {
			const {node, revision: at} = change;
			pendingRemovals.remove(node.id);
			if (!nodes.set(node.id, node, at)) {
				return noChanges;
			}

			removeReplaced(node, at);
			void events.emit('node', {node});
			return [change];
		},
		'node-removed'(change, source) {
			return applyRemoval(change, source, nodes.get(change.id) !== undefined);
		},
		unreadable(change, source) {
			if (!change.isConfiguration) {
				recordUnreadable(change);
				return drainUnreadable(change, source);
			}

			if (change.revision <= (unreadable?.revision ?? -1)) {
				return noChanges;
			}

			unreadable = change;
			recordUnreadable(change);
			return [change];
		},
		other({key, isRemoved = false}) {
			if (key !== undefined) {
				void events.emit('entry', {key, isRemoved});
			}

			return noChanges;
		},
	};

	function applyChange(change: ClusterChange, source: StateSource): AppliedChanges {
		const handle = handlers[change.kind] as (change: ClusterChange, source: StateSource) => AppliedChanges;
		return handle(change, source);
	}

	function applyEach(changes: ClusterChanges, source: StateSource): AppliedChanges {
		const applied = changes.changes.flatMap(change => applyChange(change, source));
		setRevision(changes, source);
		return applied;
	}

	/**
	Applies changes that leave no gap. If they advance the revision, all of them are emitted: peers may lack ones that this node has.
	*/
	function applyChanges(changes: ClusterChanges, source: StateSource): void {
		const after = revision;
		const applied = applyEach(changes, source);
		if (revision > after) {
			void events.emit('advanced', {after, changes, source});
		} else if (applied.length > 0) {
			void events.emit('advanced', {after, changes: {revision, changes: applied}, source});
		}
	}

	function setRevision(changes: ClusterChanges, source: StateSource): void {
		if (changes.revision <= revision) {
			return;
		}

		logger.info({
			name: 'beliefs-advanced', from: revision, to: changes.revision, changes: changes.changes.length, version: configuration?.version, source,
		});
		revision = changes.revision;
	}

	function applyAll(changes: ClusterChanges, source: StateSource): void {
		const listedEndpoints = new Set(changes.changes.flatMap(change => listEndpointIds(change)));
		const listedNodes = new Set(changes.changes.flatMap(change => change.kind === 'node' ? [change.node.id] : []));
		const removals: readonly Removal[] = [
			...endpoints.listMissing(listedEndpoints, changes.revision).map(id => ({kind: 'endpoint-removed' as const, id, revision: changes.revision})),
			...nodes.listMissing(listedNodes, changes.revision).map(id => ({kind: 'node-removed' as const, id, revision: changes.revision})),
		];
		const after = revision;
		const applied = applyEach({revision: changes.revision, changes: [...removals, ...changes.changes]}, source);
		if (applied.length > 0) {
			// These are only the changes that were new to this node, so they don't bring a peer to the revision of the list.
			void events.emit('advanced', {after, changes: {revision: after, changes: applied}, source});
		}
	}

	return {
		events,
		revision: () => revision,
		configuration: () => configuration,
		hasUnreadableConfiguration: () => findUnreadable() !== undefined,
		endpoints: endpoints.values,
		nodes: nodes.values,
		applyChanges,
		applyAll,
		setRemovalGraceUntil: pendingRemovals.setUntil,
		digest: () => endpoints.digest() + nodes.digest() + hashEntry('configuration', configuration?.version ?? -1),
		hasPendingRemovals: () => pendingRemovals.count() > 0,
		exportState: (isSteady, since) => toState({
			revision, configuration, configurationRevision, endpoints, nodes, unreadable: findUnreadable(), isSteady,
		}, since),
		importState(state) {
			// Entries that a steady peer lacks were removed and didn't only lose their lease. At the same revision, and without pending
			// removals here, only its tombstones count: it may have missed an entry itself.
			const isAhead = state.revision > revision || (state.revision === revision && pendingRemovals.count() > 0);
			const apply = isAhead && state.isSteady && state.since === undefined ? applyAll : applyChanges;
			apply({revision: state.isSteady ? state.revision : revision, changes: listStateChanges(state)}, 'peer');
		},
		close() {
			pendingRemovals.close();
			events.clearListeners();
		},
	};
}

/**
Start time of an incarnation. One without a start time precedes all others.
*/
function getStartTime({born = -1}: Pick<ServingEndpoint, 'born'>): number {
	return born;
}

/**
Id of the endpoint that a change lists. An unreadable entry is still in the store, so its endpoint was not removed.
*/
function listEndpointIds(change: ClusterChange): readonly string[] {
	if (change.kind === 'unreadable') {
		return change.endpoint === undefined ? [] : [change.endpoint];
	}

	return change.kind === 'endpoint' ? [change.endpoint.id] : [];
}
