import {hash} from 'node:crypto';

/**
 Hash under which an API key or operator token is kept.

 @example
 hashKey('secret'); // '2bb80d53…'
 */
export function hashKey(key: string): string {
	return hash('sha256', key);
}
