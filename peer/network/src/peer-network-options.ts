import type {Metrics} from '@valvesaddle/metrics';

/**
Options of `createPeerNetwork`.
*/
export type PeerNetworkOptions = {
	readonly node: string;
	readonly host: string;
	readonly port: number;
	/**
	Shared secret of the fleet.
	*/
	readonly token: string;
	/**
	Peer address `ip:port` of a node; `undefined` when it is not known.
	*/
	readonly findAddress: (node: string) => string | undefined;
	/**
	A link that was silent for so long while in use is broken, in milliseconds.
	*/
	readonly silenceMs: number;
	/**
	Whether messages are compressed: a quarter of the bytes for three times the processor time.
	*/
	readonly isCompressed: boolean;
	readonly metrics: Metrics;
};
