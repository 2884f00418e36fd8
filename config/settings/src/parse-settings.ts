import {err, ok, type Result} from 'neverthrow';
import {parse, TomlError} from 'smol-toml';
import {ValvesaddleError} from '@valvesaddle/error';
import {checkSettings} from './check-settings.ts';
import type {Settings} from './settings.ts';

/**
 Reads the text of a settings file. The error names every fault with its key, and the line where TOML itself is broken.

 @example
 parseSettings('[node]\nid = "a1"').isErr(); // true: parts are missing
 */
export function parseSettings(text: string): Result<Settings, ValvesaddleError> {
	let table: unknown;
	try {
		table = parse(text);
	} catch (error) {
		const where = error instanceof TomlError ? `line ${error.line}, column ${error.column}: ` : '';
		const reason = error instanceof Error ? error.message.split('\n', 1)[0] : String(error);
		return err(new ValvesaddleError('ERR_VALVESADDLE_SETTINGS_INVALID', `${where}${reason}`, {cause: error}));
	}

	return checkSettings(table, text).andThen(settings => ok(settings));
}
