import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {GatewaySettings} from './gateway-settings.ts';
import {gatewaySettingsSchema} from './gateway-settings-schema.ts';
import {parseToml} from './parse-toml.ts';
import {validateTable} from './validate-table.ts';

/**
 Parses the text of a gateway node's settings file. The error lists every invalid key with its line.

 @example
 parseGatewaySettings('[node]\nname = "a1"').isErr(); // true: keys are missing
 */
export function parseGatewaySettings(text: string): Result<GatewaySettings, ValvesaddleError> {
	return parseToml(text).andThen(table => validateTable(gatewaySettingsSchema, table, text));
}
