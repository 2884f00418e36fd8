import type {ValvesaddleError} from '@valvesaddle/error';
import type {Interruption} from './interruption.ts';

/**
Writes the final answer of a request to its caller.
*/
export type Reply = {
	/**
	Sends a complete answer.
	*/
	readonly answer: (status: number, headers: string[], body: Uint8Array) => void;
	/**
	Sends the head of a streamed answer.
	*/
	readonly start: (status: number, headers: string[]) => void;
	/**
	Writes a chunk; returns `false` under backpressure, until the `onDrain` callback is called.
	*/
	readonly write: (bytes: Uint8Array) => boolean;
	readonly onDrain: (resume: () => void) => void;
	/**
	Ends a streamed answer.
	*/
	readonly end: () => void;
	/**
	Closes the connection within an answer, so that the caller sees it as incomplete.
	*/
	readonly abort: (interruption: Interruption) => void;
	readonly refuse: (error: ValvesaddleError) => void;
};
