import type {Result} from 'neverthrow';
import type {ValvesaddleError} from '@valvesaddle/error';
import type {GatewaySettings} from './gateway-settings.ts';
import {gatewaySettingsSchema} from './gateway-settings-schema.ts';
import {parseToml} from './parse-toml.ts';
import {validateTable} from './validate-table.ts';

/**
 Reads the text of a gateway node's settings file. The error names every fault with its key.

 @example
 parseGatewaySettings('[node]\nname = "a1"').isErr(); // true: parts are missing
 */
export function parseGatewaySettings(text: string): Result<GatewaySettings, ValvesaddleError> {
	return parseToml(text).andThen(table => validateTable(gatewaySettingsSchema, table, text));
}
