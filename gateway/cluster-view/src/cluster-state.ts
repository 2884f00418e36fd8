import type {GatewayConfiguration, GatewayNode, ServingEndpoint} from '@valvesaddle/gateway-types';
import type {Removal} from './removal.ts';
import type {UnreadableEntry} from './unreadable-entry.ts';

/**
The cluster state of a node, as sent to a peer that is behind.
*/
export type ClusterState = {
	readonly revision: number;
	/**
	Set when the state holds only entries newer than this revision.
	*/
	readonly since?: number | undefined;
	readonly configuration: GatewayConfiguration | undefined;
	readonly endpoints: ReadonlyArray<{readonly endpoint: ServingEndpoint; readonly revision: number}>;
	readonly nodes: ReadonlyArray<{readonly node: GatewayNode; readonly revision: number}>;
	/**
	Endpoints and nodes that were removed recently, with the revisions of their removal.
	*/
	readonly removed: readonly Removal[];
	/**
	A configuration that is newer than the one in force and cannot be decoded.
	*/
	readonly unread?: UnreadableEntry | undefined;
	/**
	Whether the node was connected to the store without a gap, so that a missing entry was removed and did not only lose its lease.
	*/
	readonly isSteady: boolean;
};
