import {Buffer} from 'node:buffer';

const lineEnd = '\r\n';
const hexadecimal = 16;

/**
 Encodes a chunk of a body for HTTP/1.1's chunked transfer coding.

 @example
 String(formatChunk(Buffer.from('ok'))); // '2\r\nok\r\n'
 */
export function formatChunk(bytes: Uint8Array): Uint8Array {
	const head = bytes.length.toString(hexadecimal) + lineEnd;
	const frame = Buffer.allocUnsafe(head.length + bytes.length + lineEnd.length);
	frame.write(head, 0, 'latin1');
	frame.set(bytes, head.length);
	frame.write(lineEnd, head.length + bytes.length, 'latin1');
	return frame;
}
