import {toJson} from '@bufbuild/protobuf';
import type {Result} from 'neverthrow';
import {validateConfiguration} from '@valvesaddle/config-schema';
import type {ValvesaddleError} from '@valvesaddle/error';
import {ConfigurationSchema, type Configuration as ConfigurationMessage} from '@valvesaddle/operator-schema';
import type {Configuration} from '@valvesaddle/types';

/**
Fields whose zero is a value of its own and not "left out".
*/
const zeroDefaults = {classes: {priority: 0}, accounts: {keyHashes: []}} as const;

/**
 Reads and checks a configuration message.

 @example
 fromConfigurationMessage(message).isErr(); // when anything in it is wrong
 */
export function fromConfigurationMessage(message: ConfigurationMessage): Result<Configuration, ValvesaddleError> {
	const json = toJson(ConfigurationSchema, message);
	return validateConfiguration({
		...json,
		classes: (json.classes ?? []).map(item => ({...zeroDefaults.classes, ...item})),
		accounts: (json.accounts ?? []).map(item => ({...zeroDefaults.accounts, ...item})),
	});
}
