import type {ByteHold} from '@valvesaddle/buffers';
import type {Interruption, Reply} from '@valvesaddle/forwarding';
import type {BodyRoom} from './body-room.ts';
import type {CallerReply} from './caller-reply.ts';

/**
A request whose held bytes are counted until its connection has taken the answer.
*/
export type HeldRequest = {
	readonly hold: ByteHold;
	readonly room: BodyRoom;
	/**
	Counts what a reply leaves to be read, and ends the answer when its caller does not read.
	*/
	readonly watchReply: (reply: CallerReply, fail: (interruption: Interruption) => void) => Reply;
};
