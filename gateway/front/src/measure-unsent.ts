import type {Socket} from 'node:net';

type Unsent = {
	/**
	Bytes that the process holds.
	*/
	readonly bytes: number;
	/**
	Bytes of the write in progress that the system has not taken.
	*/
	readonly queuedBytes: number;
};

/**
The part of a socket's handle that tells how far a write has come; it is not part of the public interface of Node.js.
*/
type SocketHandle = {
	readonly writeQueueSize?: number;
};

/**
 Measures what waits on a connection. A write of several megabytes counts as a whole until its last byte is sent, so the progress
 of a caller that reads slowly shows only in the queue of the write.

 @example
 measureUnsent(socket); // {bytes: 65_536, queuedBytes: 1200}
 */
export function measureUnsent(socket: Socket): Unsent {
	const {_handle: handle} = socket as Socket & {readonly _handle?: SocketHandle};
	return {bytes: socket.writableLength, queuedBytes: handle?.writeQueueSize ?? 0};
}
