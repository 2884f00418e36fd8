import type Emittery from 'emittery';
import type {ResultAsync} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {PeerEvents} from './peer-events.ts';
import type {PeerHandlers} from './peer-handlers.ts';

/**
JSON-RPC between the nodes of a fleet, over WebSocket links that are opened on demand.
*/
export type PeerNetwork = {
	readonly events: Emittery<PeerEvents>;
	/**
	Starts to listen; resolves to the bound address.
	*/
	readonly listen: (handlers: PeerHandlers) => Promise<string>;
	/**
	Calls a method; fails with `ERR_VALVESADDLE_PEER_UNREACHABLE` when the link breaks.
	*/
	readonly call: (node: string, method: string, parameters: unknown) => ResultAsync<unknown, ValvesaddleError>;
	/**
	Sends a notification, which is lost when the node is unreachable.
	*/
	readonly notify: (node: string, method: string, parameters: unknown) => void;
	/**
	Sends a notification over every open link, or over those to the given nodes.
	*/
	readonly broadcast: (method: string, parameters: unknown, nodes?: readonly string[]) => void;
	/**
	Whether the unconfirmed data sent to a node fits in its send window; `true` without a link. Messages that a later one
	replaces are sent only then, so that urgent ones are not queued behind them.
	*/
	readonly isReady: (node: string) => boolean;
	/**
	Nodes with an open link.
	*/
	readonly connected: () => readonly string[];
	/**
	Closes the link to a node; the next message opens a new one.
	*/
	readonly disconnect: (node: string) => void;
	readonly close: () => Promise<void>;
};
