import {hash} from 'node:crypto';

const digitsOf32Bits = 8;
const hexadecimal = 16;

/**
 Hashes what is known of an entry to a number of 32 bits, for digests that are sums: those of many thousand entries are exact.

 @example
 hashEntry('i-7f', 9) === hashEntry('i-7f', 9); // true
 */
export function hashEntry(id: string, revision: number): number {
	return Number.parseInt(hash('sha1', `${id}:${revision}`).slice(0, digitsOf32Bits), hexadecimal);
}
