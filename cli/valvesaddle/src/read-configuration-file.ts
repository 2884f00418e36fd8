import {readFile} from 'node:fs/promises';
import {fromJsonString} from '@bufbuild/protobuf';
import {ValvesaddleError} from '@valvesaddle/error';
import {ConfigurationSchema, type Configuration} from '@valvesaddle/operator-schema';

/**
 Reads a configuration from a JSON file.

 @throws `ERR_VALVESADDLE_CONFIGURATION_INVALID` when it does not match the schema.
 @example
 const configuration = await readConfigurationFile('configuration.json');
 */
export async function readConfigurationFile(path: string): Promise<Configuration> {
	try {
		return fromJsonString(ConfigurationSchema, await readFile(path, 'utf8'));
	} catch (error) {
		const reason = error instanceof Error ? error.message : String(error);
		throw new ValvesaddleError('ERR_VALVESADDLE_CONFIGURATION_INVALID', `${path}: ${reason}`, {cause: error});
	}
}
