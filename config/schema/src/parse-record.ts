import {Buffer} from 'node:buffer';
import {gunzipSync} from 'node:zlib';
import {err, ok, type Result} from 'neverthrow';
import {ValvesaddleError} from '@valvesaddle/error';
import type {ConfigurationRecord} from '@valvesaddle/types';
import {compressedPrefix} from './compressed-prefix.ts';
import {recordSchema} from './record-schema.ts';

/**
Bounds what a record may readCompressed to.
*/
const largestRecordBytes = 64 * 1024 * 1024;

/**
 Reads a stored configuration record, compressed or plain.

 @example
 parseRecord('{"revision":1}').isErr(); // true: parts are missing
 */
export function parseRecord(text: string): Result<ConfigurationRecord, ValvesaddleError> {
	let json: unknown;
	try {
		json = JSON.parse(text.startsWith(compressedPrefix) ? readCompressed(text) : text);
	} catch (error) {
		return err(new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'the stored configuration is not JSON', {cause: error}));
	}

	const parsed = recordSchema.safeParse(json);
	return parsed.success ? ok(parsed.data) : err(new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', `the stored configuration does not have the expected form: ${parsed.error.message}`));
}

function readCompressed(text: string): string {
	const bytes = Buffer.from(text.slice(compressedPrefix.length), 'base64');
	return gunzipSync(bytes, {maxOutputLength: largestRecordBytes}).toString();
}
