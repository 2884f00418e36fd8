import type {ClusterChange} from '@valvesaddle/gateway-types';

/**
A change by which an endpoint or a node is gone.
*/
export type Removal = Extract<ClusterChange, {readonly kind: 'endpoint-removed' | 'node-removed'}>;
