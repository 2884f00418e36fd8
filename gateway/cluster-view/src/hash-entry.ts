import {hash} from 'node:crypto';

const digitsOf32Bits = 8;
const hexadecimal = 16;

/**
 Hashes the id and revision of an entry to 32 bits. Digests are sums of these, and stay exact for many thousand entries.

 @example
 hashEntry('i-7f', 9) === hashEntry('i-7f', 9); // true
 */
export function hashEntry(id: string, revision: number): number {
	return Number.parseInt(hash('sha1', `${id}:${revision}`).slice(0, digitsOf32Bits), hexadecimal);
}
