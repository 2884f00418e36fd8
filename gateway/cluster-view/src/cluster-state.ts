import type {GatewayConfiguration, GatewayNode, ServingEndpoint} from '@valvesaddle/gateway-types';
import type {Removal} from './removal.ts';
import type {UnreadableEntry} from './unreadable-entry.ts';

/**
All that a node believes, as it tells a peer that is behind.
*/
export type ClusterState = {
	readonly revision: number;
	/**
	Set when the state holds only what is newer than this revision.
	*/
	readonly since?: number | undefined;
	readonly configuration: GatewayConfiguration | undefined;
	readonly endpoints: ReadonlyArray<{readonly endpoint: ServingEndpoint; readonly revision: number}>;
	readonly nodes: ReadonlyArray<{readonly node: GatewayNode; readonly revision: number}>;
	/**
	Endpoints and nodes that were removed of late, with the revisions at which they were.
	*/
	readonly removed: readonly Removal[];
	/**
	A newer configuration than the one in force that is there and cannot be read.
	*/
	readonly unread?: UnreadableEntry | undefined;
	/**
	Whether the node was in touch with the store all the while, so that what is missing here was removed and did not lapse.
	*/
	readonly isSteady: boolean;
};
