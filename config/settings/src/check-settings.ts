import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import {settingsSchema} from './settings-schema.ts';
import type {Settings} from './settings.ts';
import {validateTable} from './validate-table.ts';

/**
 Validates settings and fills in defaults.

 @param input - Settings parsed from TOML.
 @param text - Source text, used to report line numbers; empty if there is none.
 @example
 checkSettings({node: {id: 'a1'}}, '').isErr(); // true
 */
export function checkSettings(input: unknown, text: string): Result<Settings, ValvesaddleError> {
	return validateTable(settingsSchema, input, text);
}
