import type {Metrics} from '@valvesaddle/metrics';

/**
Options of `createPeerNetwork`.
*/
export type PeerNetworkOptions = {
	readonly node: string;
	readonly host: string;
	readonly port: number;
	/**
	Secret that peers must present: shared by the fleet, or the node's own.
	*/
	readonly token: string;
	/**
	Peer address `ip:port` of a node; `undefined` when it is not known.
	*/
	readonly findAddress: (node: string) => string | undefined;
	/**
	Secret of a node, if each has its own; defaults to `token`.
	*/
	readonly findToken?: (node: string) => string;
	/**
	A link in use without a received message for this long is closed, in milliseconds.
	*/
	readonly linkTimeoutMs: number;
	/**
	Whether messages are compressed: about a quarter of the bytes for three times the CPU time.
	*/
	readonly isCompressed: boolean;
	readonly metrics: Metrics;
};
