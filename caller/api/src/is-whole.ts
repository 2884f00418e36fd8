import type {IncomingMessage} from 'node:http';

/**
 Whether a request has arrived completely. One without a body has when its headers have.

 @example
 isWhole(request); // false while its body arrives
 */
export function isWhole({complete, headers}: IncomingMessage): boolean {
	const hasBody = headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
	return complete || !hasBody;
}
