export {createPeerNetwork} from './create-peer-network.ts';
export type {PeerEvents} from './peer-events.ts';
export type {PeerHandlers} from './peer-handlers.ts';
export type {PeerNetwork} from './peer-network.ts';
export type {PeerNetworkOptions} from './peer-network-options.ts';
