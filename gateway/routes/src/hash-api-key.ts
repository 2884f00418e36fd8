import {hash} from 'node:crypto';

/**
 Hashes an API key as in `keyHashes` of a client account: SHA-256 in Base64.

 @example
 hashApiKey('n2ctnfzs').length; // 44
 */
export function hashApiKey(key: string): string {
	return hash('sha256', key, 'base64');
}
