import {hash} from 'node:crypto';

/**
 Hash under which an API key is kept.

 @example
 hashApiKey('n2ctnfzs').length; // 44
 */
export function hashApiKey(key: string): string {
	return hash('sha256', key, 'base64');
}
