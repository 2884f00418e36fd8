import type {Reply} from '@valvesaddle/forwarding';

/**
A reply over a caller's connection.
*/
export type CallerReply = Reply & {
	/**
	Memory of chunks that wait until the connection takes more, in bytes.
	*/
	readonly countGathered: () => number;
};
