import {err, ok, type Result} from 'neverthrow';
import type * as z from 'zod';
import {ValvesaddleError} from '@valvesaddle/error';
import {findKeyLine} from './find-key-line.ts';

/**
 Validates settings against a schema and fills in defaults. The error lists every invalid key with its line.

 @param schema - Schema to validate against.
 @param table - Parsed settings.
 @param text - Source text, used to report line numbers; empty if there is none.
 @example
 validateTable(settingsSchema, {node: {id: 'a1'}}, '').isErr(); // true
 */
export function validateTable<Schema extends z.ZodType>(schema: Schema, table: unknown, text: string): Result<z.infer<Schema>, ValvesaddleError> {
	const parsed = schema.safeParse(table);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const errors = parsed.error.issues.map(issue => {
		const keys = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0] ?? ''] : issue.path;
		const line = findKeyLine(text, keys.map(String));
		return `${keys.join('.')}${line === undefined ? '' : ` (line ${line})`}: ${issue.message}`;
	});
	return err(new ValvesaddleError('ERR_VALVESADDLE_SETTINGS_INVALID', errors.join('\n')));
}
