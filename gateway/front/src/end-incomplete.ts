import type {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {closeLingering} from './close-lingering.ts';

/**
How often it is checked whether the bytes of an answer that is ended incomplete were sent, in milliseconds.
*/
const checkMs = 50;
/**
Number of checks until the rest is discarded. While the event loop is blocked and nothing is sent, no checks are made either.
*/
const maximumChecks = 8;

/**
 Ends an answer so that its caller sees it as incomplete, after what was already written of it.

 @example
 response.write('part');
 endIncomplete(response);
 */
export function endIncomplete(response: ServerResponse): void {
	const {socket, headersSent, chunkedEncoding} = response;
	if (socket === null || !headersSent) {
		response.destroy();
	} else if (chunkedEncoding) {
		closeLingering(socket);
		closeUnsent(socket);
	} else {
		// An answer without chunks may be one that ends with its connection, so only a reset shows that it is incomplete.
		socket.resetAndDestroy();
	}
}

function closeUnsent(socket: Socket): void {
	let checks = 0;
	const timer = setInterval(() => {
		checks++;
		if (socket.writableFinished) {
			clearInterval(timer);
		} else if (checks === maximumChecks) {
			socket.destroy();
		}
	}, checkMs);
	socket.once('close', () => {
		clearInterval(timer);
	});
}
