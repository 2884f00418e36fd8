import type {ClusterChange} from '@valvesaddle/gateway-types';

/**
An entry of the store that cannot be decoded.
*/
export type UnreadableEntry = Extract<ClusterChange, {readonly kind: 'unreadable'}>;
