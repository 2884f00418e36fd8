import type {Metrics} from '@valvesaddle/metrics';

/**
Options of `createPeerNetwork`.
*/
export type PeerNetworkOptions = {
	readonly node: string;
	readonly host: string;
	readonly port: number;
	/**
	Secret that peers have to present: the fleet's, or the node's own.
	*/
	readonly token: string;
	/**
	Peer address `ip:port` of a node; `undefined` when it is not known.
	*/
	readonly findAddress: (node: string) => string | undefined;
	/**
	Secret of a node, where each has its own; the fleet's secret otherwise.
	*/
	readonly findToken?: (node: string) => string;
	/**
	A link that was silent for so long while in use is broken, in milliseconds.
	*/
	readonly linkTimeoutMs: number;
	/**
	Whether messages are compressed: a quarter of the bytes for three times the processor time.
	*/
	readonly isCompressed: boolean;
	readonly metrics: Metrics;
};
