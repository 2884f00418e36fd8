import {Buffer} from 'node:buffer';
import {gunzipSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {ValvesaddleError} from '@valvesaddle/error';
import type {ConfigurationRecord} from '@valvesaddle/types';
import {compressedPrefix} from './compressed-prefix.ts';
import {recordSchema} from './record-schema.ts';

/**
Limit on the decompressed size of a record.
*/
const maximumRecordBytes = 64 * 1024 * 1024;

/**
 Parses a stored configuration record, compressed or plain.

 @example
 parseRecord('{"revision":1}').isErr(); // true: fields are missing
 */
export function parseRecord(text: string): Result<ConfigurationRecord, ValvesaddleError> {
	let json: unknown;
	try {
		json = JSON.parse(text.startsWith(compressedPrefix) ? decodeCompressed(text) : text);
	} catch (error) {
		return err(new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'the stored configuration is not JSON', {cause: error}));
	}

	const parsed = recordSchema.safeParse(json);
	return parsed.success ? ok(parsed.data) : err(new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', `the stored configuration does not have the expected form: ${parsed.error.message}`));
}

function decodeCompressed(text: string): string {
	const bytes = Buffer.from(text.slice(compressedPrefix.length), 'base64');
	return gunzipSync(bytes, {maxOutputLength: maximumRecordBytes}).toString();
}
