import type {WebSocket} from 'ws';
import type {Metrics} from '@valvesaddle/metrics';
import type {PeerHandlers} from './peer-handlers.ts';

/**
Options of `createPeerLink`.
*/
export type PeerLinkOptions = {
	readonly node: string;
	readonly socket: WebSocket;
	readonly handlers: PeerHandlers;
	/**
	A link in use without a received message for this long is closed, in milliseconds.
	*/
	readonly linkTimeoutMs: number;
	readonly metrics: Metrics;
	readonly onClose: () => void;
};
