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
	Returns what was new.
	*/
	readonly [Kind in ClusterChange['kind']]: (change: Extract<ClusterChange, {readonly kind: Kind}>, source: StateSource) => News;
};

type News = readonly ClusterChange[];

type EndpointChange = Extract<ClusterChange, {readonly kind: 'endpoint'}>;

const nothing: News = [];

/**
Longest reason of an entry that cannot be read, in characters: whoever wrote it chose its length.
*/
const longestReason = 200;

/**
 Creates a node's view of the cluster, empty at first.

 @example
 const view = createClusterView({logger, metrics});
 view.applyAll(changes, 'store');
 */
export function createClusterView({logger, metrics}: ClusterViewOptions): ClusterView {
	const events = new Emittery<ClusterEvents>();
	const endpoints = createVersionedMap<ServingEndpoint>(getBirth);
	const nodes = createVersionedMap<GatewayNode>();
	const lapses = createPendingRemovals({logger, onExpired: removeLapsed});
	/**
	Revisions of entries that were told of in the log: each list and each peer brings them again.
	*/
	const unreadMarks = createSeenRevisions();
	const outdatedMarks = createSeenRevisions();
	/**
	Node that registered last at each address, and the revision at which it did.
	*/
	const addresses = new Map<string, {readonly id: string; readonly at: number}>();
	let configuration: GatewayConfiguration | undefined;
	let revision = -1;
	/**
	Revision of the configuration in force.
	*/
	let configuredAt = -1;
	/**
	The last configuration that could not be read.
	*/
	let unread: UnreadableEntry | undefined;

	function findUnread(): UnreadableEntry | undefined {
		return unread !== undefined && unread.revision > configuredAt ? unread : undefined;
	}

	function removeEndpoint(removal: Removal, source: StateSource): News {
		const {id, revision: at} = removal;
		const endpoint = endpoints.get(id);
		const wasKnown = endpoints.remove(id, at);
		if (!wasKnown || endpoint === undefined) {
			return nothing;
		}

		metrics.increment('gateway.endpoints-removed');
		logger.info({
			name: 'endpoint-believed', endpoint: id, state: 'gone', revision: at, source,
		});
		void events.emit('endpointRemoved', {id, endpoint});
		return [removal];
	}

	function removeNode(removal: Removal): News {
		if (!nodes.remove(removal.id, removal.revision)) {
			return nothing;
		}

		void events.emit('nodeRemoved', {id: removal.id});
		return [removal];
	}

	const removers: Readonly<Record<Removal['kind'], (removal: Removal, source: StateSource) => News>> = {
		'endpoint-removed': removeEndpoint,
		'node-removed': removeNode,
	};

	function removeLapsed(removals: readonly Removal[]): void {
		for (const removal of removals) {
			removers[removal.kind](removal, 'store');
		}

		// Peers had the revision before, without these removals.
		void events.emit('advanced', {after: revision, changes: {revision, changes: removals}, source: 'store'});
	}

	/**
	An entry that may only have lapsed while the store was away is kept until it has had time to come back.
	*/
	function applyRemoval(removal: Removal, source: StateSource, isKnown: boolean): News {
		if (isKnown && source === 'store' && lapses.isOpen()) {
			lapses.add(removal);
			return nothing;
		}

		lapses.remove(removal.id);
		return removers[removal.kind](removal, source);
	}

	/**
	A process that was started anew has taken the place of the one before at its address, in whatever order they are heard of.
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
	An entry of an older incarnation changes nothing, whatever its revision: its writer has ended.
	*/
	function recordOutdated({endpoint, revision: at}: EndpointChange, source: StateSource): void {
		const {id, born} = endpoint;
		const believed = endpoints.get(id);
		if (believed === undefined || getBirth(believed) <= getBirth(endpoint) || !outdatedMarks.add(id, at)) {
			return;
		}

		metrics.increment('gateway.endpoints-outdated');
		logger.info({
			name: 'endpoint-outdated', endpoint: id, born, believed: believed.born, revision: at, source,
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
		if (!unreadMarks.add(key, at)) {
			return;
		}

		metrics.increment('gateway.entries-unreadable');
		logger.warn({
			name: 'store-entry-unreadable', key, revision: at, reason: reason.slice(0, longestReason),
		});
	}

	/**
	An entry that is no longer its endpoint's own word names none to use: it gets no new work, and keeps what it has.
	*/
	function drainUnreadable({endpoint: id = '', revision: at}: UnreadableEntry, source: StateSource): News {
		const believed = endpoints.get(id);
		return believed === undefined ? nothing : handlers.endpoint({kind: 'endpoint', revision: at, endpoint: {...believed, state: 'draining'}}, source);
	}

	const handlers: Handlers = {
		configuration(change, source) {
			if (change.configuration.version <= (configuration?.version ?? -1)) {
				return nothing;
			}

			configuration = change.configuration;
			configuredAt = change.revision;
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
				return nothing;
			}

			lapses.remove(endpoint.id);
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
			lapses.remove(node.id);
			if (!nodes.set(node.id, node, at)) {
				return nothing;
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

			if (change.revision <= (unread?.revision ?? -1)) {
				return nothing;
			}

			unread = change;
			recordUnreadable(change);
			return [change];
		},
		other({key, isRemoved = false}) {
			if (key !== undefined) {
				void events.emit('entry', {key, isRemoved});
			}

			return nothing;
		},
	};

	function applyChange(change: ClusterChange, source: StateSource): News {
		const handle = handlers[change.kind] as (change: ClusterChange, source: StateSource) => News;
		return handle(change, source);
	}

	function applyEach(changes: ClusterChanges, source: StateSource): News {
		const news = changes.changes.flatMap(change => applyChange(change, source));
		setRevision(changes, source);
		return news;
	}

	/**
	Takes over changes that leave no gap, and tells of all of them: what is not new here may be new to those that are told.
	*/
	function applyChanges(changes: ClusterChanges, source: StateSource): void {
		const after = revision;
		const news = applyEach(changes, source);
		if (revision > after) {
			void events.emit('advanced', {after, changes, source});
		} else if (news.length > 0) {
			void events.emit('advanced', {after, changes: {revision, changes: news}, source});
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
		const listedEndpoints = new Set(changes.changes.flatMap(change => listEndpoint(change)));
		const listedNodes = new Set(changes.changes.flatMap(change => change.kind === 'node' ? [change.node.id] : []));
		const removals: readonly Removal[] = [
			...endpoints.listMissing(listedEndpoints, changes.revision).map(id => ({kind: 'endpoint-removed' as const, id, revision: changes.revision})),
			...nodes.listMissing(listedNodes, changes.revision).map(id => ({kind: 'node-removed' as const, id, revision: changes.revision})),
		];
		const after = revision;
		const news = applyEach({revision: changes.revision, changes: [...removals, ...changes.changes]}, source);
		if (news.length > 0) {
			// What was new to this node is not all that was new since then, so it takes nobody to the revision.
			void events.emit('advanced', {after, changes: {revision: after, changes: news}, source});
		}
	}

	return {
		events,
		revision: () => revision,
		configuration: () => configuration,
		hasUnreadableConfiguration: () => findUnread() !== undefined,
		endpoints: endpoints.values,
		nodes: nodes.values,
		applyChanges,
		applyAll,
		setRemovalGraceUntil: lapses.setUntil,
		digest: () => endpoints.digest() + nodes.digest() + hashEntry('configuration', configuration?.version ?? -1),
		hasPendingRemovals: () => lapses.count() > 0,
		exportState: (isSteady, since) => toState({
			revision, configuration, configuredAt, endpoints, nodes, unread: findUnread(), isSteady,
		}, since),
		importState(state) {
			// A peer that was in touch with the store all the while also knows which entries were removed and did not lapse. At the
			// same revision only what it has seen removed counts: what it lacks it may have missed itself.
			const isAhead = state.revision > revision || (state.revision === revision && lapses.count() > 0);
			const apply = isAhead && state.isSteady && state.since === undefined ? applyAll : applyChanges;
			apply({revision: state.isSteady ? state.revision : revision, changes: listStateChanges(state)}, 'peer');
		},
		close() {
			lapses.close();
			events.clearListeners();
		},
	};
}

/**
An incarnation that does not say when it started is before all that do.
*/
function getBirth({born = -1}: Pick<ServingEndpoint, 'born'>): number {
	return born;
}

/**
An entry that cannot be read is there all the same: what was believed under its key did not lapse.
*/
function listEndpoint(change: ClusterChange): readonly string[] {
	if (change.kind === 'unreadable') {
		return change.endpoint === undefined ? [] : [change.endpoint];
	}

	return change.kind === 'endpoint' ? [change.endpoint.id] : [];
}
