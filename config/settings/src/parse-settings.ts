import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import {checkSettings} from './check-settings.ts';
import {parseToml} from './parse-toml.ts';
import type {Settings} from './settings.ts';

/**
 Parses the text of a settings file. The error lists every invalid key with its line, or the line of the TOML syntax error.

 @example
 parseSettings('[node]\nid = "a1"').isErr(); // true: keys are missing
 */
export function parseSettings(text: string): Result<Settings, ValvesaddleError> {
	return parseToml(text).andThen(table => checkSettings(table, text));
}
