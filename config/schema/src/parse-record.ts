import {err, ok, type Result} from 'neverthrow';
import {ValvesaddleError} from '@valvesaddle/error';
import type {ConfigurationRecord} from '@valvesaddle/types';
import {recordSchema} from './record-schema.ts';

/**
 Reads a stored configuration record.

 @example
 parseRecord('{"revision":1}').isErr(); // true: parts are missing
 */
export function parseRecord(text: string): Result<ConfigurationRecord, ValvesaddleError> {
	let json: unknown;
	try {
		json = JSON.parse(text);
	} catch (error) {
		return err(new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'the stored configuration is not JSON', {cause: error}));
	}

	const parsed = recordSchema.safeParse(json);
	return parsed.success ? ok(parsed.data) : err(new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', `the stored configuration does not have the expected form: ${parsed.error.message}`));
}
