import * as z from 'zod';
import type {ClusterState} from '@valvesaddle/cluster-view';

/**
Schema of a peer's cluster state. Peers run the same program and authenticate with a token, so only the outline is checked.
*/
export const clusterStateSchema = z.custom<ClusterState>(value => typeof value === 'object' && value !== null
	&& 'revision' in value && 'endpoints' in value && 'nodes' in value && 'removed' in value && 'isSteady' in value);
