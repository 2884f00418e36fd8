import {toJson} from '@bufbuild/protobuf';
import type {Result} from 'neverthrow';
import {validateConfiguration} from '@valvesaddle/config-schema';
import type {ValvesaddleError} from '@valvesaddle/error';
import {ConfigurationSchema, type Configuration as ConfigurationMessage} from '@valvesaddle/operator-schema';
import type {Configuration} from '@valvesaddle/types';

/**
Defaults for required fields that protobuf JSON omits when they are zero or empty.
*/
const zeroDefaults = {classes: {priority: 0}, accounts: {keyHashes: []}} as const;

/**
 Decodes and validates a configuration message.

 @example
 fromConfigurationMessage(message).isErr(); // when the configuration is invalid
 */
export function fromConfigurationMessage(message: ConfigurationMessage): Result<Configuration, ValvesaddleError> {
	const json = toJson(ConfigurationSchema, message);
	return validateConfiguration({
		...json,
		classes: (json.classes ?? []).map(item => ({...zeroDefaults.classes, ...item})),
		accounts: (json.accounts ?? []).map(item => ({...zeroDefaults.accounts, ...item})),
	});
}
