import type {ValvesaddleError} from '@valvesaddle/error';

/**
Where the one final answer of a request goes.
*/
export type Reply = {
	/**
	Answers whole.
	*/
	readonly answer: (status: number, headers: string[], body: Uint8Array) => void;
	/**
	Begins an answer that comes in pieces.
	*/
	readonly start: (status: number, headers: string[]) => void;
	/**
	Writes a piece; `false` when the caller reads more slowly, until `onDrain` is called.
	*/
	readonly write: (bytes: Uint8Array) => boolean;
	readonly onDrain: (resume: () => void) => void;
	/**
	Ends an answer that came in pieces.
	*/
	readonly end: () => void;
	/**
	Breaks an answer off, so that it cannot be taken for whole.
	*/
	readonly abort: () => void;
	readonly refuse: (error: ValvesaddleError) => void;
};
