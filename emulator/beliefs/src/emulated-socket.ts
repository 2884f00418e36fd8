import type {EventEmitter} from 'node:events';

/**
One end of a link, as far as the links of the real package use a socket.
*/
export type EmulatedSocket = EventEmitter & {
	readonly readyState: number;
	readonly send: (text: string) => void;
	/**
	Asks for a sign of life, which brings the text back.
	*/
	readonly ping: (text?: string) => void;
	/**
	Ends the link at this end at once; the other end hears of it as of any message.
	*/
	readonly terminate: () => void;
	readonly close: () => void;
};
