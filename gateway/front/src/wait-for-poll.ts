import {setImmediate as waitTurn} from 'node:timers/promises';

/**
 Waits until the event loop has polled all sockets once more. The end of a connection is read one poll after the bytes before it, so
 that a caller that left while the event loop was blocked is known by then.

 @example
 await waitForPoll();
 socket.readableEnded; // true if the caller had left
 */
export async function waitForPoll(): Promise<void> {
	// The first turn is that of the poll in which the bytes were read.
	await waitTurn();
	await waitTurn();
}
