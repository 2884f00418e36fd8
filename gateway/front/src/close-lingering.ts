import type {Socket} from 'node:net';

/**
How long a caller may send nothing before its connection is closed, in milliseconds.
*/
const quietMs = 500;
/**
How long a caller may go on sending, in milliseconds.
*/
const maximumMs = 5000;
/**
How much of what a caller goes on sending is read, in bytes.
*/
const maximumBytes = 16 * 1024 * 1024;

/**
 Closes a connection after the bytes that wait in it, and reads on until the caller closes it too. Bytes that arrive at a closed
 socket reset the connection, and the caller could lose the end of its answer.

 @example
 response.once('close', () => {
 	closeLingering(socket);
 });
 */
export function closeLingering(socket: Socket): void {
	socket.end(() => {
		// The socket closes itself once both sides have ended.
		if (!socket.destroyed) {
			watchCaller(socket);
		}
	});
}

function watchCaller(socket: Socket): void {
	const endsAt = performance.now() + maximumMs;
	const firstBytes = socket.bytesRead;
	let bytes = firstBytes;
	const check = (): void => {
		const isQuiet = socket.bytesRead === bytes;
		bytes = socket.bytesRead;
		if (isQuiet || bytes - firstBytes > maximumBytes || performance.now() > endsAt) {
			socket.destroy();
		}
	};

	const timer = setInterval(() => {
		// Timers may run before bytes that have arrived are read.
		setImmediate(check);
	}, quietMs);
	socket.once('close', () => {
		clearInterval(timer);
	});
}
