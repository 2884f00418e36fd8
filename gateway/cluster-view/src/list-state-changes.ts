import type {ClusterChange} from '@valvesaddle/gateway-types';
import type {ClusterState} from './cluster-state.ts';

/**
 Lists the contents of a peer's cluster state as changes.

 @example
 listStateChanges(state).length;
 */
export function listStateChanges({revision, configuration, endpoints, nodes, removed, unread}: ClusterState): readonly ClusterChange[] {
	return [
		...removed,
		...(unread === undefined ? [] : [unread]),
		...endpoints.map(({endpoint, revision: at}) => ({kind: 'endpoint' as const, revision: at, endpoint})),
		...nodes.map(({node, revision: at}) => ({kind: 'node' as const, revision: at, node})),
		...(configuration === undefined ? [] : [{kind: 'configuration' as const, revision, configuration}]),
	];
}
