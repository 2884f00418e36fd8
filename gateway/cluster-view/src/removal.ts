import type {ClusterChange} from '@valvesaddle/gateway-types';

/**
A change that removes an endpoint or a node.
*/
export type Removal = Extract<ClusterChange, {readonly kind: 'endpoint-removed' | 'node-removed'}>;
