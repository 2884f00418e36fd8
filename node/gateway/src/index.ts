export {createGateway} from './create-gateway.ts';
export {createLoadSync} from './create-load-sync.ts';
export {createPeerSync} from './create-peer-sync.ts';
export type {Gateway} from './gateway.ts';
export type {GatewayOptions} from './gateway-options.ts';
export type {LoadSync} from './load-sync.ts';
export type {PeerSync} from './peer-sync.ts';
export type {PeerSyncOptions} from './peer-sync-options.ts';
