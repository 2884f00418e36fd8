import type {EventEmitter} from 'node:events';

/**
One end of an emulated link: the part of a WebSocket that peer links use.
*/
export type EmulatedSocket = EventEmitter & {
	readonly readyState: number;
	readonly send: (text: string) => void;
	/**
	Sends a ping, which the other end answers with a pong of the same text.
	*/
	readonly ping: (text?: string) => void;
	/**
	Closes this end at once. The other end receives the close as it receives any message.
	*/
	readonly terminate: () => void;
	readonly close: () => void;
};
