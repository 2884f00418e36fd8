export {createPeerLink} from './create-peer-link.ts';
export {createPeerNetwork} from './create-peer-network.ts';
export type {PeerEvents} from './peer-events.ts';
export type {PeerHandlers} from './peer-handlers.ts';
export type {PeerLink} from './peer-link.ts';
export type {PeerLinkOptions} from './peer-link-options.ts';
export type {PeerNetwork} from './peer-network.ts';
export type {PeerNetworkOptions} from './peer-network-options.ts';
