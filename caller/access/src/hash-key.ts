import {hash} from 'node:crypto';

/**
 Hashes an API key or operator token with SHA-256, as stored in the configuration; hexadecimal.

 @example
 hashKey('secret'); // '2bb80d53…'
 */
export function hashKey(key: string): string {
	return hash('sha256', key);
}
