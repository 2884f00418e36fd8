import {fromJson, type JsonValue, type MessageInitShape} from '@bufbuild/protobuf';
import {ConfigurationSchema} from '@valvesaddle/operator-schema';
import type {Configuration} from '@valvesaddle/types';

/**
 Converts a configuration to its message.

 @example
 toConfigurationMessage(configuration).pools.length;
 */
export function toConfigurationMessage(configuration: Configuration): MessageInitShape<typeof ConfigurationSchema> {
	return fromJson(ConfigurationSchema, configuration as unknown as JsonValue);
}
