import {createHash} from 'node:crypto';
import type {RequestIdentity} from './request-identity.ts';

/**
Characters of a digest: 132 bits.
*/
const digestLength = 22;

/**
 Hashes what identifies a request when its caller sends it again: host, client account, method, path with query, and body. The
 digest can be logged and sent to other nodes, since the request cannot be read from it.

 @example
 hashRequest({host: 'permits.example', account: 'sawmill', method: 'POST', path: '/drafts/7', body: undefined}).length; // 22
 */
export function hashRequest({host, account = '', method, path, body = new Uint8Array()}: RequestIdentity): string {
	return createHash('sha256')
		.update(JSON.stringify([host, account, method, path]))
		.update(body)
		.digest('base64url')
		.slice(0, digestLength);
}
