import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import {settingsSchema} from './settings-schema.ts';
import type {Settings} from './settings.ts';
import {validateTable} from './validate-table.ts';

/**
 Checks settings whole and fills in defaults.

 @param input - Settings as read from TOML.
 @param text - The file that they come from, to name lines; empty when there is none.
 @example
 checkSettings({node: {id: 'a1'}}, '').isErr(); // true
 */
export function checkSettings(input: unknown, text: string): Result<Settings, ValvesaddleError> {
	return validateTable(settingsSchema, input, text);
}
