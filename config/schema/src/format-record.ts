import {gzipSync} from 'node:zlib';
import type {ConfigurationRecord} from '@valvesaddle/types';
import {compressedPrefix} from './compressed-prefix.ts';

/**
 Formats a configuration record for storage and for peers. It is compressed because a value of the key-value service
 holds at most one megabyte.

 @example
 formatRecord(record).startsWith('gzip:'); // true
 */
export function formatRecord(record: ConfigurationRecord): string {
	return `${compressedPrefix}${gzipSync(JSON.stringify(record)).toString('base64')}`;
}
