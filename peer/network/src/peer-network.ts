import type Emittery from 'emittery';
import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {PeerEvents} from './peer-events.ts';
import type {PeerHandlers} from './peer-handlers.ts';

/**
JSON-RPC between the nodes of a fleet, over WebSocket links that are opened when needed.
*/
export type PeerNetwork = {
	readonly events: Emittery<PeerEvents>;
	/**
	Starts to listen; resolves to the address in use.
	*/
	readonly listen: (handlers: PeerHandlers) => Promise<string>;
	/**
	Calls a method; a broken link fails it with `ERR_VALVESADDLE_PEER_UNREACHABLE`.
	*/
	readonly call: (node: string, method: string, parameters: unknown) => ResultAsync<unknown, ValvesaddleError>;
	/**
	Sends a notification; lost when the node cannot be reached.
	*/
	readonly notify: (node: string, method: string, parameters: unknown) => void;
	/**
	Sends a notification over every link that is open now, or over those to the given nodes.
	*/
	readonly broadcast: (method: string, parameters: unknown, nodes?: readonly string[]) => void;
	/**
	Whether a node has taken in nearly all that was sent to it. What newer messages replace is only sent when this holds; what
	must arrive soon is sent in any case, and then waits for little.
	*/
	readonly isReady: (node: string) => boolean;
	/**
	Nodes with an open link.
	*/
	readonly connected: () => readonly string[];
	/**
	Breaks the link to a node that is silent or no longer needed; the next message opens a new one.
	*/
	readonly disconnect: (node: string) => void;
	readonly close: () => Promise<void>;
};
