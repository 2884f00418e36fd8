import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import {checkSettings} from './check-settings.ts';
import {parseToml} from './parse-toml.ts';
import type {Settings} from './settings.ts';

/**
 Reads the text of a settings file. The error names every fault with its key, and the line where TOML itself is broken.

 @example
 parseSettings('[node]\nid = "a1"').isErr(); // true: parts are missing
 */
export function parseSettings(text: string): Result<Settings, ValvesaddleError> {
	return parseToml(text).andThen(table => checkSettings(table, text));
}
