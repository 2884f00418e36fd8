import type {ServerResponse} from 'node:http';
import {closeLingering} from './close-lingering.ts';

/**
How long bytes of an answer that is ended incomplete may wait for their caller, in milliseconds.
*/
const flushMs = 400;

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
		const timer = setTimeout(() => {
			if (!socket.writableFinished) {
				socket.destroy();
			}
		}, flushMs);
		socket.once('close', () => {
			clearTimeout(timer);
		});
	} else {
		// An answer without chunks may be one that ends with its connection, so only a reset shows that it is incomplete.
		socket.resetAndDestroy();
	}
}
