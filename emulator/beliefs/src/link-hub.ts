import type {GatewayNode} from '@valvesaddle/gateway-types';
import type {EmulatedSocket} from './emulated-socket.ts';

/**
The emulated network between nodes.
*/
export type LinkHub = {
	/**
	Registers a node. `accept` is called with each link that is opened to or by the node.
	*/
	readonly register: (node: GatewayNode, accept: (peer: string, socket: EmulatedSocket) => void) => void;
	/**
	Opens a link and passes it to both nodes. Rejects when the connection is refused or times out.
	*/
	readonly open: (from: string, address: string, timeoutMs: number) => Promise<void>;
	/**
	Terminates a node: its peers see connections refused (`reset`), or no answer at all (`silence`).
	*/
	readonly endNode: (node: string, how: 'reset' | 'silence') => void;
	/**
	Breaks the open links of a node (`reset`), or makes them drop all messages (`silence`).
	*/
	readonly endLinks: (node: string, how: 'reset' | 'silence') => void;
	/**
	Starts or ends a network partition between two data centres.
	*/
	readonly setPartition: (between: readonly [string, string], isOn: boolean) => void;
};
