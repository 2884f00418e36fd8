import type {IncomingMessage} from 'node:http';

/**
The bytes between and after a name and a value: colon, space and line end.
*/
const separatorBytes = 4;

/**
 Bytes of a request's headers as they came over the connection.

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
