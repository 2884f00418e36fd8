import type {GatewayNode} from '@valvesaddle/gateway-types';
import type {EmulatedSocket} from './emulated-socket.ts';

/**
What lies between the nodes.
*/
export type LinkHub = {
	/**
	From now on the node takes in links; it is also given those that it opens.
	*/
	readonly register: (node: GatewayNode, accept: (peer: string, socket: EmulatedSocket) => void) => void;
	/**
	Opens a link, which is given to both nodes; fails as a socket does.
	*/
	readonly open: (from: string, address: string, timeoutMs: number) => Promise<void>;
	readonly endNode: (node: string, how: 'reset' | 'silence') => void;
	/**
	Breaks all links of a node that are open now, or makes them silent.
	*/
	readonly endLinks: (node: string, how: 'reset' | 'silence') => void;
	readonly setPartition: (between: readonly [string, string], isCut: boolean) => void;
};
