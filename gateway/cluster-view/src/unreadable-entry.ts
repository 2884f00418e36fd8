import type {ClusterChange} from '@valvesaddle/gateway-types';

/**
An entry of the store that cannot be read.
*/
export type UnreadableEntry = Extract<ClusterChange, {readonly kind: 'unreadable'}>;
