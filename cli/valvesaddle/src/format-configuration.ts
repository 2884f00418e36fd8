import {toJson, type Message} from '@bufbuild/protobuf';
import {ConfigurationSchema, type Configuration} from '@valvesaddle/operator-schema';

/**
 Formats a configuration message as the JSON that `config apply` takes.

 @example
 formatConfiguration(reply.configuration);
 */
export function formatConfiguration(configuration: Configuration | undefined): string {
	return JSON.stringify(configuration === undefined ? {} : toJson(ConfigurationSchema, configuration satisfies Message), undefined, 2);
}
