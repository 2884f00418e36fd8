import type {Flow} from '@valvesaddle/exchange';

/**
Passes a stream on at the pace of its caller.
*/
export type CallerPace = {
	/**
	Writes a chunk, and tells whether the endpoint is read on.
	*/
	readonly write: (chunk: Uint8Array) => Flow;
	/**
	The attempt has ended: nothing goes on after that.
	*/
	readonly end: () => void;
};
