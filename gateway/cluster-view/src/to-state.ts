import type {GatewayConfiguration, GatewayNode, ServingEndpoint} from '@valvesaddle/gateway-types';
import type {ClusterState} from './cluster-state.ts';
import type {UnreadableEntry} from './unreadable-entry.ts';
import type {VersionedMap} from './versioned-map.ts';

type Beliefs = {
	readonly revision: number;
	readonly configuration: GatewayConfiguration | undefined;
	/**
	Revision of the configuration in force.
	*/
	readonly configuredAt: number;
	readonly endpoints: VersionedMap<ServingEndpoint>;
	readonly nodes: VersionedMap<GatewayNode>;
	readonly unread: UnreadableEntry | undefined;
	readonly isSteady: boolean;
};

/**
 Collects what a peer is told: what is newer than a revision, where the marks of removals reach back so far, else all.

 @param beliefs - All that a node believes.
 @param after - Revision up to which the peer knows all; `undefined` for a peer that asks for all.
 @example
 toState(beliefs, 40).since; // 40
 */
export function toState(beliefs: Beliefs, after: number | undefined): ClusterState {
	const {revision, configuration, configuredAt, endpoints, nodes, unread, isSteady} = beliefs;
	const since = after !== undefined && endpoints.hasTombstonesSince(after) && nodes.hasTombstonesSince(after) ? after : undefined;
	const isTold = ({revision: at}: {readonly revision: number}): boolean => since === undefined || at > since;
	return {
		revision,
		since,
		configuration: isTold({revision: configuredAt}) ? configuration : undefined,
		endpoints: endpoints.entries().filter(entry => isTold(entry)).map(({value, revision: at}) => ({endpoint: value, revision: at})),
		nodes: nodes.entries().filter(entry => isTold(entry)).map(({value, revision: at}) => ({node: value, revision: at})),
		removed: [
			...endpoints.tombstones().filter(mark => isTold(mark)).map(mark => ({kind: 'endpoint-removed' as const, ...mark})),
			...nodes.tombstones().filter(mark => isTold(mark)).map(mark => ({kind: 'node-removed' as const, ...mark})),
		],
		unread,
		isSteady,
	};
}
