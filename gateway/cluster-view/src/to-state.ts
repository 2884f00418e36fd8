import type {GatewayConfiguration, GatewayNode, ServingEndpoint} from '@valvesaddle/gateway-types';
import type {ClusterState} from './cluster-state.ts';
import type {UnreadableEntry} from './unreadable-entry.ts';
import type {VersionedMap} from './versioned-map.ts';

type ViewContents = {
	readonly revision: number;
	readonly configuration: GatewayConfiguration | undefined;
	/**
	Revision of the configuration in force.
	*/
	readonly configurationRevision: number;
	readonly endpoints: VersionedMap<ServingEndpoint>;
	readonly nodes: VersionedMap<GatewayNode>;
	readonly unreadable: UnreadableEntry | undefined;
	readonly isSteady: boolean;
};

/**
 Exports the cluster state for a peer: the entries newer than a revision if the tombstones reach back to it, else all.

 @param contents - Contents of the cluster view.
 @param after - Revision up to which the peer is up to date; `undefined` for a peer that requests all entries.
 @example
 toState(contents, 40).since; // 40
 */
export function toState(contents: ViewContents, after: number | undefined): ClusterState {
	const {revision, configuration, configurationRevision, endpoints, nodes, unreadable, isSteady} = contents;
	const since = after !== undefined && endpoints.hasTombstonesSince(after) && nodes.hasTombstonesSince(after) ? after : undefined;
	const isIncluded = ({revision: at}: {readonly revision: number}): boolean => since === undefined || at > since;
	return {
		revision,
		since,
		configuration: isIncluded({revision: configurationRevision}) ? configuration : undefined,
		endpoints: endpoints.entries().filter(entry => isIncluded(entry)).map(({value, revision: at}) => ({endpoint: value, revision: at})),
		nodes: nodes.entries().filter(entry => isIncluded(entry)).map(({value, revision: at}) => ({node: value, revision: at})),
		removed: [
			...endpoints.tombstones().filter(tombstone => isIncluded(tombstone)).map(tombstone => ({kind: 'endpoint-removed' as const, ...tombstone})),
			...nodes.tombstones().filter(tombstone => isIncluded(tombstone)).map(tombstone => ({kind: 'node-removed' as const, ...tombstone})),
		],
		unread: unreadable,
		isSteady,
	};
}
