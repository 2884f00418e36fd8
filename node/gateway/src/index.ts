export {createGateway} from './create-gateway.ts';
export {createNewsSync} from './create-news-sync.ts';
export {createPeerSync} from './create-peer-sync.ts';
export type {Gateway} from './gateway.ts';
export type {GatewayOptions} from './gateway-options.ts';
export type {NewsSync} from './news-sync.ts';
export type {PeerSync} from './peer-sync.ts';
export type {PeerSyncOptions} from './peer-sync-options.ts';
