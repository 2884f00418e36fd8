import {err, ok, type Result} from 'neverthrow';
import {ValvesaddleError} from '@valvesaddle/error';
import type {Configuration} from '@valvesaddle/types';
import {configurationSchema} from './configuration-schema.ts';
import {findReferenceErrors} from './find-reference-errors.ts';

const maximumListedErrors = 20;

/**
 Validates a configuration and fills in defaults. The error lists every invalid field with its path.

 @example
 validateConfiguration({classes: [], accounts: [], pools: [], endpoints: [], bindings: []}).isOk(); // true
 */
export function validateConfiguration(input: unknown): Result<Configuration, ValvesaddleError> {
	const parsed = configurationSchema.safeParse(input);
	if (!parsed.success) {
		return toInvalidError(parsed.error.issues.map(issue => `${issue.path.join('.')}: ${issue.message}`));
	}

	const errors = findReferenceErrors(parsed.data);
	return errors.length > 0 ? toInvalidError(errors) : ok(parsed.data);
}

function toInvalidError(errors: readonly string[]): Result<Configuration, ValvesaddleError> {
	const listed = errors.slice(0, maximumListedErrors);
	const rest = errors.length - listed.length;
	const lines = rest > 0 ? [...listed, `and ${rest} more`] : listed;
	return err(new ValvesaddleError('ERR_VALVESADDLE_CONFIGURATION_INVALID', lines.join('\n')));
}
