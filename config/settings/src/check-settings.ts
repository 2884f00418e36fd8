import {err, ok, type Result} from 'neverthrow';
import {ValvesaddleError} from '@valvesaddle/error';
import {findKeyLine} from './find-key-line.ts';
import {settingsSchema} from './settings-schema.ts';
import type {Settings} from './settings.ts';

/**
 Checks settings whole and fills in defaults.

 @param input - Settings as read from TOML.
 @param text - The file that they come from, to name lines; empty when there is none.
 @example
 checkSettings({node: {id: 'a1'}}, '').isErr(); // true
 */
export function checkSettings(input: unknown, text: string): Result<Settings, ValvesaddleError> {
	const parsed = settingsSchema.safeParse(input);
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
