import {gzipSync} from 'node:zlib';
import type {ConfigurationRecord} from '@valvesaddle/types';
import {compressedPrefix} from './compressed-prefix.ts';

/**
 Writes a configuration record as it is stored and sent to peers: compressed, since names repeat and a value of the
 key-value service holds a megabyte at most.

 @example
 formatRecord(record).startsWith('gzip:'); // true
 */
export function formatRecord(record: ConfigurationRecord): string {
	return `${compressedPrefix}${gzipSync(JSON.stringify(record)).toString('base64')}`;
}
