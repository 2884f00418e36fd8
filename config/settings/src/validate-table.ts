import {err, ok, type Result} from 'neverthrow';
import type * as z from 'zod';
import {ValvesaddleError} from '@valvesaddle/error';
import {findKeyLine} from './find-key-line.ts';

/**
 Checks a table of settings against its form and fills in defaults. The error names every fault with its key and line.

 @param schema - The form.
 @param table - The settings as read.
 @param text - The file that the table comes from, to name lines; empty when there is none.
 @example
 validateTable(settingsSchema, {node: {id: 'a1'}}, '').isErr(); // true
 */
export function validateTable<Schema extends z.ZodType>(schema: Schema, table: unknown, text: string): Result<z.infer<Schema>, ValvesaddleError> {
	const parsed = schema.safeParse(table);
	if (parsed.success) {
		return ok(parsed.data);
	}

	const faults = parsed.error.issues.map(issue => {
		const keys = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0] ?? ''] : issue.path;
		const line = findKeyLine(text, keys.map(String));
		return `${keys.join('.')}${line === undefined ? '' : ` (line ${line})`}: ${issue.message}`;
	});
	return err(new ValvesaddleError('ERR_VALVESADDLE_SETTINGS_INVALID', faults.join('\n')));
}
