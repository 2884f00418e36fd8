import type {IncomingMessage} from 'node:http';

/**
Bytes that each header adds to its name and value: colon, space and line end.
*/
const separatorBytes = 4;

/**
 Counts the bytes of a request's headers as received.

 @example
 countHeaderBytes(request); // 412
 */
export function countHeaderBytes({rawHeaders}: Pick<IncomingMessage, 'rawHeaders'>): number {
	let bytes = 0;
	for (const text of rawHeaders) {
		bytes += text.length;
	}

	return bytes + (rawHeaders.length / 2 * separatorBytes);
}
